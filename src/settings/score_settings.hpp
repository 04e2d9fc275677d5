// Prices and goal weights, each with its key and its field: one table for the parser and for the checks.
// Internal to the package.
#ifndef DISPATCHER_SETTINGS_SCORE_SETTINGS_HPP_
#define DISPATCHER_SETTINGS_SCORE_SETTINGS_HPP_

#include "routing/settings.hpp"
#include "settings/keys.hpp"

namespace dispatcher::settings {

// An optional number: its key, and the member of `Group` that holds it.
template <class Group>
struct NumberSetting {
  Key key;
  double Group::*field;
};

inline constexpr NumberSetting<routing::Prices> kPriceSettings[] = {
    {keys::kWastedWorkPrice, &routing::Prices::wasted_work},
    {keys::kProbePrice, &routing::Prices::probe},
    {keys::kCrossZonePrice, &routing::Prices::cross_zone},
    {keys::kLateFailurePrice, &routing::Prices::late_failure},
    {keys::kPeerMessagePrice, &routing::Prices::peer_message},
    {keys::kRemoteTransferPrice, &routing::Prices::remote_transfer},
    {keys::kMigrationPrice, &routing::Prices::migration},
    {keys::kConnectionPrice, &routing::Prices::connection},
    {keys::kHandshakePrice, &routing::Prices::handshake},
    {keys::kEndpointListEntryPrice, &routing::Prices::endpoint_list_entry}};

inline constexpr NumberSetting<routing::Goal> kGoalSettings[] = {
    {keys::kGoalTotal, &routing::Goal::total},
    {keys::kGoalWorstWindow, &routing::Goal::worst_window},
    {keys::kGoalWorstClass, &routing::Goal::worst_class},
    {keys::kGoalWorstTenant, &routing::Goal::worst_tenant}};

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_SCORE_SETTINGS_HPP_
