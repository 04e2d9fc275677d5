// A minute without faults: two zones, three instances.
lasts_s:   60
instances: 3
