// The settings of an instance, read whole: what is wrong is gathered, so that all of it is told at once.
#include <algorithm>
#include <optional>
#include <utility>

#include "fields.hpp"
#include "wire.hpp"

namespace dispatcher::wire {

using namespace routing;  // the types that are translated

namespace {

using settings::Finding;
using settings::Severity;

template <class E>
using Words = std::initializer_list<std::pair<const char*, E>>;

std::string shown(const Json& value) {
  constexpr std::size_t kMax = 40;
  const std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() > kMax ? text.substr(0, kMax) + "..." : text;
}

// An object of the settings and its path. What is wrong of it goes to the findings; its value is then the
// type's own default. Where the object itself is missing, that is the one finding.
class Fields {
 public:
  Fields(const Json* object, std::string path, std::vector<Finding>& findings)
      : object_(object), path_(std::move(path)), findings_(findings) {}

  template <class T>
  [[nodiscard]] [[nodiscard]] [[nodiscard]] T need(const std::string& key) const {
    return read<T>(key, true, {}, expected<T>(), fits<T>, convert<T>);
  }
  template <class T>
  [[nodiscard]] [[nodiscard]] [[nodiscard]] T opt(const std::string& key, T absent = {}) const {
    return read<T>(key, false, std::move(absent), expected<T>(), fits<T>, convert<T>);
  }
  [[nodiscard]] Duration need_ms(const std::string& key) const { return time(key, true); }
  [[nodiscard]] Duration opt_ms(const std::string& key) const { return time(key, false); }
  // Element i of an array, zero where that is shorter.
  [[nodiscard]] double element(const std::string& key, std::size_t i) const {
    const Json* array = this->array(key, false);
    if (array == nullptr || i >= array->size()) return 0;
    if ((*array)[i].is_number()) return (*array)[i].get<double>();
    wrong(key + "[" + std::to_string(i) + "]", shown((*array)[i]), "number");
    return 0;
  }
  [[nodiscard]] Duration element_time(const std::string& key, std::size_t i, double us) const {
    const double value = element(key, i) * us;
    if (std::abs(value) < kMaxMs * 1000) return Duration(std::llround(value));
    wrong(key + "[" + std::to_string(i) + "]", "out of range", "time");
    return {};
  }

  template <class E>
  E word(const std::string& key, Words<E> words, const char* absent = nullptr) const {
    const std::string given = absent == nullptr ? need<std::string>(key) : opt<std::string>(key, absent);
    return word_of(key, given, words, Severity::kRefuse);
  }
  // A word that only informs: one that is not known here may be new.
  template <class E>
  [[nodiscard]] [[nodiscard]] [[nodiscard]] E known_word(const std::string& key, Words<E> words) const {
    return word_of(key, opt<std::string>(key, words.begin()->first), words, Severity::kWarn);
  }
  template <class E>
  [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] E word_of(
      const std::string& key, const std::string& given, Words<E> words, Severity severity) const {
    std::string known;
    for (const auto& [name, code] : words) {
      if (given == name) return code;
      known += (known.empty() ? "'" : ", '") + std::string(name) + "'";
    }
    add({severity, at(key), "unknown word '" + given + "'", known});
    return words.begin()->second;
  }

  [[nodiscard]] Fields object(const std::string& key, bool needed) const {
    const Json* value = member(key);
    if (value != nullptr && value->is_object()) return {value, at(key), findings_};
    if (value != nullptr || needed) wrong(key, value == nullptr ? "missing" : shown(*value), "object");
    return {nullptr, at(key), findings_};
  }
  [[nodiscard]] const Json* array(const std::string& key, bool needed) const {
    const Json* value = member(key);
    if (value != nullptr && value->is_array()) return value;
    if (value != nullptr || needed) wrong(key, value == nullptr ? "missing" : shown(*value), "array");
    return nullptr;
  }
  [[nodiscard]] std::vector<Fields> objects(const std::string& key, bool needed) const {
    std::vector<Fields> all;
    const Json* array = this->array(key, needed);
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      const std::string name = key + "[" + std::to_string(i) + "]";
      const bool good = (*array)[i].is_object();
      if (!good) wrong(name, shown((*array)[i]), "object");
      all.emplace_back(good ? &(*array)[i] : nullptr, at(name), findings_);
    }
    return all;
  }
  [[nodiscard]] std::vector<std::string> texts(const std::string& key, bool needed) const {
    std::vector<std::string> all;
    const Json* array = this->array(key, needed);
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      const bool good = (*array)[i].is_string();
      if (!good) wrong(key + "[" + std::to_string(i) + "]", shown((*array)[i]), "text");
      all.push_back(good ? (*array)[i].get<std::string>() : std::string());
    }
    return all;
  }
  void wrong(const std::string& key, std::string what, std::string wanted) const {
    add({Severity::kRefuse, at(key), std::move(what), std::move(wanted)});
  }

 private:
  // One for each field: what follows from the first is not told as well.
  void add(Finding finding) const {
    const bool told = std::any_of(findings_.begin(), findings_.end(),
                                  [&](const Finding& f) { return f.field == finding.field; });
    if (object_ != nullptr && !told) findings_.push_back(std::move(finding));
  }
  [[nodiscard]] const Json* member(const std::string& key) const {
    return object_ == nullptr ? nullptr : find(*object_, key);
  }
  [[nodiscard]] std::string at(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
  }
  template <class T, class Fits, class Convert>
  T read(const std::string& key, bool needed, T absent, const char* wanted, Fits good, Convert made) const {
    const Json* value = member(key);
    if (value != nullptr && good(*value)) return made(*value);
    if (value != nullptr || needed) wrong(key, value == nullptr ? "missing" : shown(*value), wanted);
    return absent;
  }
  [[nodiscard]] Duration time(const std::string& key, bool needed) const {
    return read<Duration>(key, needed, {}, "number of milliseconds", fits_ms,
                          [](const Json& value) { return from_ms(value.get<double>()); });
  }

  const Json* object_;
  std::string path_;
  std::vector<Finding>& findings_;
};

void read_classes(const Fields& env, const Fields& info, Settings& s) {
  std::size_t i = 0;
  for (const Fields& c : env.objects("categories", true)) {
    RequestClass k;
    k.name = c.need<std::string>("name");
    k.idempotency = c.word<Idempotency>("repeat", {{"unsafe", Idempotency::kNonIdempotent},
                                                   {"keyed", Idempotency::kKeyed},
                                                   {"safe", Idempotency::kIdempotent}});
    k.deduplication_scope = c.word<DeduplicationScope>("group",
                                                       {{"all", DeduplicationScope::kAll},
                                                        {"zone", DeduplicationScope::kZone},
                                                        {"cell", DeduplicationScope::kCell}},
                                                       "all");
    k.deduplication_window = c.opt_ms("windowMs");
    k.latency_objective = c.need_ms("objectiveMs");
    k.deadline = c.need_ms("deadlineMs");
    k.priority_weight = c.need<double>("worth");
    k.late_weight = c.opt<double>("lateValue");
    k.latency_objective_stretch = c.opt<double>("aimStretch");
    k.latency_objective_per_1000_tokens = info.element_time("aimUsPer1000PromptTokens", i, 1);
    k.token_latency_objective = info.element_time("tokenAimMs", i, 1000);
    s.classes.push_back(std::move(k));
    ++i;
  }
}

void read_kinds(const Fields& env, const Fields& info, Settings& s) {
  const std::vector<std::string> names = env.texts("hostTypes", true),
                                 duties = info.texts("dutyByKind", true);
  if (duties.size() != names.size())
    info.wrong("dutyByKind",
               std::to_string(duties.size()) + " duties for " + std::to_string(names.size()) + " hostTypes",
               "one for each");
  for (std::size_t i = 0; i < names.size(); ++i) {
    EndpointKind kind{names[i], {}, info.element("memoryTokens", i)};
    if (i < duties.size())
      kind.role = info.word_of<Role>(
          "dutyByKind[" + std::to_string(i) + "]", duties[i],
          {{"read", Role::kReader}, {"write", Role::kWriter}, {"both", Role::kMixed}}, Severity::kRefuse);
    s.kinds.push_back(std::move(kind));
  }
}

// Values that are not known here may be new: they are passed over.
std::vector<LoadField> read_load_fields(const Fields& info) {
  static const std::pair<const char*, LoadField> names[] = {
      {"rif", LoadField::kInHand},     {"q", LoadField::kQueued},
      {"busy", LoadField::kBusy},      {"lat_ms", LoadField::kLatency},
      {"rate", LoadField::kRate},      {"fail_rate", LoadField::kFailRate},
      {"x0", LoadField::kMemoryShare}, {"x1", LoadField::kPromptKilotokens}};
  std::vector<LoadField> fields;
  for (const std::string& given : info.texts("fields", false)) {
    for (const auto& [name, field] : names)
      if (given == name) fields.push_back(field);
  }
  return fields;
}

void read_limits(const Fields& limits, Settings& s) {
  s.connect_timeout = limits.opt_ms("connectTimeoutMs");
  s.idle_timeout = limits.opt_ms("idleCloseMs");
  s.may_cancel = limits.opt<bool>("mayCancel");
  s.may_probe = limits.opt<bool>("mayProbe");
  s.may_duplicate = limits.opt<bool>("mayDuplicate");
  s.peers = limits.opt<bool>("peers");
  s.retry_advice = limits.opt<bool>("retryAfter");
  s.max_retry_after = limits.opt_ms("maxRetryAfterMs");
  s.max_attempts = limits.need<int>("mostTries");
  s.max_open_requests =
      static_cast<int>(std::clamp<double>(limits.opt<double>("openCap"), 0, std::numeric_limits<int>::max()));
}

void read_rules(const Fields& rules, Settings& s) {
  s.poll_interval = rules.opt_ms("askEveryMs");
  s.answer_slack = rules.need_ms("answerSlackMs");
  s.drain_grace = rules.need_ms("drainGraceMs");
  s.warmup_initial_share = rules.need<double>("coldShare");
  s.warmup_time = rules.need_ms("coldMs");
  s.overload_multiple = rules.need<double>("tipMultiple");
  s.overload_window = rules.need_ms("tipAfterMs");
}

void read_prices(const Fields& prices, const Fields& info, Prices& p) {
  p.waste = prices.opt<double>("waste");
  p.probe = prices.opt<double>("probe");
  p.cross_zone = prices.opt<double>("crossZone");
  p.late_fail = prices.opt<double>("lateFail");
  p.peer = prices.opt<double>("peer");
  p.far = info.opt<double>("moveFee");
  p.move = prices.opt<double>("moves");
  p.connection = prices.opt<double>("connection");
  p.handshake = prices.opt<double>("handshake");
  p.list_line = prices.opt<double>("registryMode");
}

std::string joined(const std::vector<Finding>& findings) {
  std::string all;
  for (const Finding& f : findings) {
    if (f.severity == Severity::kRefuse) all += (all.empty() ? "" : "; ") + settings::text(f);
  }
  return all;
}

}  // namespace

SettingsError::SettingsError(std::vector<Finding> all) : WireError(joined(all)), findings(std::move(all)) {}

Settings parse_settings(const Json& env, std::vector<Finding>* warnings) {
  std::vector<Finding> findings;
  const Fields top(&env, "", findings);
  const Fields info = top.object("familyInfo", true);
  Settings s;
  s.router_number = top.need<int>("myNumber");
  s.router_count = top.need<int>("balancers");
  s.zone = top.opt<std::string>("myZone");
  s.zones = top.texts("dcs", false);
  read_classes(top, info, s);
  for (const Fields& t : top.objects("tenants", false))
    s.tenants.push_back({t.need<std::string>("name"), t.opt<double>("quotaRps")});
  read_kinds(top, info, s);
  s.polls_endpoint_list = top.word<bool>("registryMode", {{"push", false}, {"ask", true}});
  s.weights = top.known_word<WeightMeaning>("weights", {{"silent", WeightMeaning::kNothing},
                                                        {"nominal", WeightMeaning::kNominal},
                                                        {"rough", WeightMeaning::kRough},
                                                        {"live", WeightMeaning::kLive}});
  const Fields reports = top.object("loadInfo", false);
  s.report_source = reports.known_word<ReportSource>("source", {{"silent", ReportSource::kNone},
                                                                {"piggyback", ReportSource::kInAnswers},
                                                                {"pull", ReportSource::kInProbes}});
  s.report_fields = read_load_fields(reports);
  s.writers_read = info.opt<bool>("writersRead");
  s.early_pairing = info.opt<bool>("earlyPairing");
  s.resume = info.opt<bool>("resume");
  s.reservation_limit = info.need_ms("pinLimitMs");
  s.clients_mark_retries = top.object("clientHabits", false).opt<bool>("marksRetry");
  s.weight_by_work = top.known_word<bool>("worthBy", {{"request", false}, {"work", true}});
  s.over_quota_weight = top.opt<double>("overShareWorth", 1.0);
  s.tick = top.need_ms("granularityMs");
  read_limits(top.object("limits", true), s);
  read_rules(top.object("guarantees", true), s);
  read_prices(top.object("prices", false), info, s.prices);
  const Fields goal = top.object("goal", false);
  s.goal = {goal.opt<double>("whole"), goal.opt<double>("worstWindow"), goal.opt<double>("worstClass"),
            goal.opt<double>("worstTenant")};
  if (!joined(findings).empty()) throw SettingsError(std::move(findings));
  if (warnings != nullptr) *warnings = std::move(findings);
  return s;
}

}  // namespace dispatcher::wire
