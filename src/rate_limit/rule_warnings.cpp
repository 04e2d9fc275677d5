// Finds rules that can never match, because their condition is false for every request or an earlier rule
// matches all of their requests.
#include <algorithm>
#include <map>
#include <set>

#include "rate_limit/rules.hpp"

namespace dispatcher::rate_limit {

namespace {

// What must hold for a rule to match. A condition is a conjunction of parts. A part that tests whether a
// field has one of several values is recorded by field and values, any other part by its text.
struct Requirements {
  std::set<std::string> parts;
  std::map<int, std::set<std::string>> values_by_field;
  bool is_contradiction = false;
};

void add_membership(const expression::Membership& membership, const expression::Environment& fields,
                    Requirements& requirements) {
  const auto& domain = fields.fields()[static_cast<std::size_t>(membership.field)].domain;
  std::set<std::string> values;
  for (const expression::Value& value : membership.values) {
    const bool is_possible =
        !domain || std::find(domain->begin(), domain->end(), value.text()) != domain->end();
    if (is_possible) values.insert(expression::to_text(value));
  }
  const auto [it, is_first] = requirements.values_by_field.emplace(membership.field, values);
  if (!is_first) std::erase_if(it->second, [&](const std::string& value) { return !values.contains(value); });
  if (it->second.empty()) requirements.is_contradiction = true;
}

Requirements requirements_of(const expression::Node& condition, const expression::Environment& fields) {
  Requirements requirements;
  for (const expression::Node* part : expression::conjuncts(condition)) {
    if (part->op == expression::Op::kLiteral) {
      if (part->integer == 0) requirements.is_contradiction = true;
    } else if (const auto membership = expression::membership(*part)) {
      add_membership(*membership, fields, requirements);
    } else {
      requirements.parts.insert(expression::to_text(*part));
    }
  }
  return requirements;
}

// Returns whether every request that meets the first requirements also meets the second ones.
bool implies(const Requirements& first, const Requirements& second) {
  if (!std::includes(first.parts.begin(), first.parts.end(), second.parts.begin(), second.parts.end()))
    return false;
  return std::all_of(second.values_by_field.begin(), second.values_by_field.end(), [&](const auto& required) {
    const auto& [field, values] = required;
    const auto it = first.values_by_field.find(field);
    return it != first.values_by_field.end() &&
           std::includes(values.begin(), values.end(), it->second.begin(), it->second.end());
  });
}

// Indexes earlier rules, each by one of its requirements. A rule is compared only with the earlier rules that
// could match whenever it does, because comparing all pairs of ten thousand rules would take a hundred
// million comparisons.
class RuleIndex {
 public:
  void add(std::size_t rule, const Requirements& requirements) {
    if (!requirements.parts.empty()) {
      by_requirement_[*requirements.parts.begin()].push_back(rule);
    } else if (!requirements.values_by_field.empty()) {
      const auto& [field, values] = *requirements.values_by_field.begin();
      for (const std::string& value : values) by_requirement_[key(field, value)].push_back(rule);
    } else {
      unconditional_.push_back(rule);
    }
  }

  // Returns the earlier rules that could match whenever a rule with these requirements does, in the order of
  // the file.
  [[nodiscard]] std::vector<std::size_t> candidates(const Requirements& requirements) const {
    std::vector<std::size_t> candidates = unconditional_;
    const auto add_candidates = [&](const std::string& requirement) {
      const auto it = by_requirement_.find(requirement);
      if (it != by_requirement_.end())
        candidates.insert(candidates.end(), it->second.begin(), it->second.end());
    };
    for (const std::string& part : requirements.parts) add_candidates(part);
    for (const auto& [field, values] : requirements.values_by_field) {
      for (const std::string& value : values) add_candidates(key(field, value));
    }
    std::sort(candidates.begin(), candidates.end());
    return candidates;
  }

 private:
  static std::string key(int field, const std::string& value) { return std::to_string(field) + "=" + value; }

  std::map<std::string, std::vector<std::size_t>> by_requirement_;
  std::vector<std::size_t> unconditional_;
};

}  // namespace

std::vector<cue::Problem> warnings(const RuleSet& set) {
  std::vector<cue::Problem> warnings;
  std::vector<Requirements> requirements;
  RuleIndex index;
  for (std::size_t i = 0; i < set.rules().size(); ++i) {
    const Rule& rule = set.rules()[i];
    const std::string path = "rules[" + std::to_string(i) + "]";
    requirements.push_back(requirements_of(set.conditions().condition(i).tree(), set.fields()));
    const Requirements& own = requirements.back();
    if (own.is_contradiction) {
      warnings.push_back({rule.at, path, "rule '" + rule.name + "' can never match"});
      continue;
    }
    const std::vector<std::size_t> candidates = index.candidates(own);
    const auto shadowing = std::find_if(candidates.begin(), candidates.end(), [&](std::size_t earlier) {
      return implies(own, requirements[earlier]);
    });
    if (shadowing == candidates.end()) {
      index.add(i, own);
      continue;
    }
    warnings.push_back({rule.at, path,
                        "rule '" + rule.name + "' can never match: earlier rule '" +
                            set.rules()[*shadowing].name + "' matches all of its requests"});
  }
  return warnings;
}

}  // namespace dispatcher::rate_limit
