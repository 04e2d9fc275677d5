#include "degradation/degradation_controller.hpp"

#include <array>
#include <utility>

namespace dispatcher::degradation {

using Json = nlohmann::json;

namespace {

// The name that operators set instead of a level's name to clear an override.
constexpr const char* kAutomatic = "auto";

// Keys of status(), which operators' scripts and the successor in a hot restart read.
constexpr const char* kLevelKey = "level";
constexpr const char* kOverriddenKey = "pinned";

Json to_json(const expression::Value& value) {
  if (value.kind == expression::Kind::kDouble) return value.real;
  if (value.kind == expression::Kind::kInt) return value.integer;
  return nullptr;
}

Json to_json(const expression::Environment& fields, const std::vector<expression::Value>& values) {
  Json object = Json::object();
  for (std::size_t i = 0; i < values.size() && i < fields.fields().size(); ++i)
    object[fields.fields()[i].path] = to_json(values[i]);
  return object;
}

}  // namespace

std::shared_ptr<const LevelSet> DegradationController::read(const cue::File& file,
                                                            const routing::Settings& settings) {
  const expression::Environment signals = Signals::fields(settings);
  const rate_limit::Vocabulary vocabulary = rate_limit::vocabulary_of(settings);
  expression::Environment request = signals;
  request.add({"account.use", expression::Kind::kDouble, true, 0, {}});
  rate_limit::add_request_fields(request, vocabulary);
  return LevelSet::read(file, signals, request, vocabulary.classes);
}

DegradationController::DegradationController(const routing::Settings& settings,
                                             std::shared_ptr<const LevelSet> levels, engine::Clock clock,
                                             engine::Log log, std::function<double()> random)
    : clock_(std::move(clock)),
      log_(std::move(log)),
      random_(std::move(random)),
      fields_(Signals::fields(settings)),
      signals_(settings),
      machine_(std::move(levels)) {}

void DegradationController::apply_settings(const routing::Settings& settings,
                                           std::shared_ptr<const LevelSet> levels) {
  signals_.apply_settings(settings);
  fields_ = Signals::fields(settings);
  last_signals_.clear();
  const std::string previous_name = machine_.level_name();
  machine_.replace_levels(std::move(levels), clock_());
  if (machine_.level_name() != previous_name) log_change(machine_.history().back());
}

void DegradationController::tick(std::size_t in_progress, std::optional<Time> endpoints_updated_at) {
  if (!active()) return;
  last_signals_ = signals_.values(in_progress, endpoints_updated_at, clock_());
  if (machine_.step(last_signals_, clock_())) log_change(machine_.history().back());
}

void DegradationController::log_change(const LevelChange& change) {
  std::string text = "level " + change.from + " -> " + change.to + ": " + name(change.cause);
  if (!change.condition.empty()) text += " by " + change.condition;
  const Json signals = to_json(fields_, change.signals);
  for (const auto& [field, value] : signals.items()) {
    if (!value.is_null()) text += ", " + field + " " + value.dump();
  }
  if (change.from != kNormalLevelName) text += ", " + std::to_string(shed_count_) + " shed at " + change.from;
  shed_count_ = 0;
  log_(text);
}

std::optional<Duration> DegradationController::shed(const routing::Request& request,
                                                    rate_limit::RequestAttributes attributes) {
  if (!active()) return std::nullopt;
  signals_.request_arrived(request.tenant, clock_());
  if (machine_.level() == kNormalLevel) return std::nullopt;
  attributes.request_class = request.request_class;
  attributes.account = request.tenant;
  attributes.session = request.session;
  std::array<expression::Value, rate_limit::kRequestFields> request_values;
  rate_limit::SessionText session_text{};
  rate_limit::fill_request_fields(attributes, session_text, request_values);

  // Appends the values in the order of the environment that read() builds.
  std::vector<expression::Value> values = last_signals_;
  values.resize(fields_.fields().size(), expression::Value::of(expression::EvaluationError::kAbsent));
  values.push_back(signals_.quota_usage(request.tenant, clock_()));
  values.insert(values.end(), request_values.begin(), request_values.end());
  const auto retry_after = machine_.shed(request.request_class, values, random_());
  if (retry_after) ++shed_count_;
  return retry_after;
}

Json DegradationController::status() const {
  return {{kLevelKey, machine_.level_name()},
          {kOverriddenKey, machine_.is_overridden()},
          {"shed", shed_count_},
          {"signals", to_json(fields_, last_signals_)}};
}

Json DegradationController::history() const {
  Json changes = Json::array();
  for (const LevelChange& change : machine_.history()) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(change.at);
    changes.push_back({{"at_ms", at.count()},
                       {"from", change.from},
                       {"to", change.to},
                       {"cause", name(change.cause)},
                       {"condition", change.condition},
                       {"signals", to_json(fields_, change.signals)}});
  }
  Json names = Json::array({kNormalLevelName});
  for (const Level& level : machine_.levels().levels()) names.push_back(level.name);
  return {{"levels", names}, {"changes", changes}};
}

bool DegradationController::set_override(const std::string& name) {
  if (name == kAutomatic) {
    if (machine_.is_overridden()) log_("level " + machine_.level_name() + ": no longer pinned by operators");
    machine_.clear_override();
    return true;
  }
  const auto level = machine_.levels().find(name);
  if (!level) return false;
  const std::string previous_name = machine_.level_name();
  if (!machine_.is_overridden() || name != previous_name) log_("level " + name + ": pinned by operators");
  machine_.set_override(*level, clock_());
  if (name != previous_name) log_change(machine_.history().back());
  return true;
}

void DegradationController::restore(const Json& status) {
  const auto level_name = status.find(kLevelKey);
  if (!status.is_object() || level_name == status.end() || !level_name->is_string()) return;
  const auto level = machine_.levels().find(level_name->get<std::string>());
  const auto overridden = status.find(kOverriddenKey);
  const bool is_overridden =
      overridden != status.end() && overridden->is_boolean() && overridden->get<bool>();
  if (!level || (*level == kNormalLevel && !is_overridden)) return;
  machine_.set_override(*level, clock_());
  if (!is_overridden) machine_.clear_override();
  log_("level " + machine_.level_name() + (is_overridden ? ": pinned" : ": in force") +
       " at the predecessor");
}

void DegradationController::on_first_token(const std::string& request_class, FirstTokenTiming timing) {
  if (active()) signals_.first_token(request_class, timing, clock_());
}

void DegradationController::on_request_not_served(const std::string& request_class,
                                                  engine::NotServedReason reason) {
  if (active()) signals_.request_not_served(request_class, reason, clock_());
}

}  // namespace dispatcher::degradation
