#include "degradation/degradation_controller.hpp"

#include <array>
#include <utility>

namespace dispatcher::degradation {

using Json = nlohmann::json;

namespace {

Json to_json(const expression::Value& v) {
  if (v.kind == expression::Kind::kDouble) return v.real;
  if (v.kind == expression::Kind::kInt) return v.integer;
  return nullptr;
}

Json named(const expression::Environment& fields, const std::vector<expression::Value>& values) {
  Json all = Json::object();
  for (std::size_t i = 0; i < values.size() && i < fields.fields().size(); ++i)
    all[fields.fields()[i].path] = to_json(values[i]);
  return all;
}

}  // namespace

std::shared_ptr<const LevelSet> DegradationController::read(const cue::File& file,
                                                            const routing::Settings& settings) {
  const expression::Environment signals = Signals::fields(settings);
  expression::Environment request = signals;
  request.add({"account.use", expression::Kind::kDouble, true, 0, {}});
  const rate_limit::Vocabulary names = rate_limit::vocabulary_of(settings);
  rate_limit::add_request_fields(request, names);
  return LevelSet::read(file, signals, request, names.classes);
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

void DegradationController::adopt(const routing::Settings& settings, std::shared_ptr<const LevelSet> levels) {
  signals_.adopt(settings);
  fields_ = Signals::fields(settings);
  last_.clear();
  const std::string before = machine_.level_name();
  machine_.adopt(std::move(levels), clock_());
  if (machine_.level_name() != before) tell(machine_.history().back());
}

void DegradationController::tick(std::size_t open, std::optional<Time> heard) {
  if (!active()) return;
  last_ = signals_.values(open, heard, clock_());
  if (machine_.step(last_, clock_())) tell(machine_.history().back());
}

void DegradationController::tell(const Change& change) {
  std::string line = "level " + change.from + " -> " + change.to + ": " + name(change.cause);
  if (!change.condition.empty()) line += " by " + change.condition;
  const Json signals = named(fields_, change.signals);
  for (const auto& [field, value] : signals.items()) {
    if (!value.is_null()) line += ", " + field + " " + value.dump();
  }
  if (change.from != "normal") line += ", " + std::to_string(shed_) + " shed at " + change.from;
  shed_ = 0;
  log_(line);
}

std::optional<Duration> DegradationController::shed(const routing::Request& request,
                                                    rate_limit::Facts facts) {
  if (!active()) return std::nullopt;
  signals_.asked(request.tenant, clock_());
  if (machine_.level() == 0) return std::nullopt;
  facts.request_class = request.request_class;
  facts.account = request.tenant;
  facts.session = request.session;
  std::array<expression::Value, rate_limit::kRequestFields> fields;
  std::array<char, 16> session{};
  rate_limit::fill_request(facts, session, fields);
  std::vector<expression::Value> values = last_;
  values.resize(fields_.fields().size(), expression::Value::of(expression::Fault::kAbsent));
  values.push_back(signals_.use(request.tenant, clock_()));
  values.insert(values.end(), fields.begin(), fields.end());
  const auto retry = machine_.shed(request.request_class, values, random_());
  shed_ += retry ? 1 : 0;
  return retry;
}

Json DegradationController::level() const {
  return {{"level", machine_.level_name()},
          {"pinned", machine_.pinned()},
          {"shed", shed_},
          {"signals", named(fields_, last_)}};
}

Json DegradationController::changes() const {
  Json all = Json::array();
  for (const Change& c : machine_.history()) {
    all.push_back({{"at_ms", c.at.count() / 1000},
                   {"from", c.from},
                   {"to", c.to},
                   {"cause", name(c.cause)},
                   {"condition", c.condition},
                   {"signals", named(fields_, c.signals)}});
  }
  Json names = Json::array({"normal"});
  for (const Level& l : machine_.levels().levels()) names.push_back(l.name);
  return {{"levels", names}, {"changes", all}};
}

bool DegradationController::order(const std::string& name) {
  if (name == "auto") {
    if (machine_.pinned()) log_("level " + machine_.level_name() + ": no longer pinned by operators");
    machine_.unpin();
    return true;
  }
  const auto level = machine_.levels().find(name);
  if (!level) return false;
  const std::string before = machine_.level_name();
  if (!machine_.pinned() || name != before) log_("level " + name + ": pinned by operators");
  machine_.pin(*level, clock_());
  if (name != before) tell(machine_.history().back());
  return true;
}

void DegradationController::resume(const Json& level) {
  const auto it = level.find("level");
  if (!level.is_object() || it == level.end() || !it->is_string()) return;
  const auto number = machine_.levels().find(it->get<std::string>());
  const auto pinned = level.find("pinned");
  const bool pin = pinned != level.end() && pinned->is_boolean() && pinned->get<bool>();
  if (!number || (*number == 0 && !pin)) return;
  machine_.pin(*number, clock_());
  if (!pin) machine_.unpin();
  log_("level " + machine_.level_name() + (pin ? ": pinned" : ": in force") + " at the process before");
}

void DegradationController::on_first_token(const std::string& request_class, bool late) {
  if (active()) signals_.first_token(request_class, late, clock_());
}

void DegradationController::on_request_not_served(const std::string& request_class,
                                                  engine::NotServedReason reason) {
  if (!active()) return;
  signals_.given_up(request_class, reason == engine::NotServedReason::kRejected, clock_());
}

}  // namespace dispatcher::degradation
