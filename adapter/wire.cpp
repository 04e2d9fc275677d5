#include "wire.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <type_traits>

namespace basaltvane::wire {
namespace {

template <class T>
T convert(const Json& value, const std::string& key) {
  if constexpr (std::is_same_v<T, std::string>) {
    if (!value.is_string()) throw WireError("field '" + key + "': text expected");
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!value.is_boolean()) throw WireError("field '" + key + "': true or false expected");
  } else if constexpr (std::is_same_v<T, std::uint64_t>) {
    if (!value.is_number_unsigned()) throw WireError("field '" + key + "': whole number expected");
  } else {
    if (!value.is_number()) throw WireError("field '" + key + "': number expected");
    if constexpr (std::is_same_v<T, int>) {
      const double number = value.get<double>();
      if (!(std::abs(number) <= std::numeric_limits<int>::max())) {
        throw WireError("field '" + key + "': number out of range");
      }
      return static_cast<int>(std::llround(number));
    }
  }
  return value.get<T>();
}

template <class T>
T need(const Json& object, const std::string& key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) throw WireError("field '" + key + "' is missing");
  return convert<T>(*it, key);
}

template <class T>
T opt(const Json& object, const std::string& key, T absent = {}) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? absent : convert<T>(*it, key);
}

Duration from_ms(double ms, const std::string& key) {
  if (!(std::abs(ms) < 1e15)) throw WireError("field '" + key + "': time out of range");
  return Duration(std::llround(ms * 1000.0));
}
Duration need_ms(const Json& object, const std::string& key) {
  return from_ms(need<double>(object, key), key);
}
Duration opt_ms(const Json& object, const std::string& key) { return from_ms(opt<double>(object, key), key); }
double to_ms(Duration value) { return static_cast<double>(value.count()) / 1000.0; }

const Json& need_member(const Json& object, const std::string& key, Json::value_t type) {
  const auto it = object.find(key);
  if (it == object.end()) throw WireError("field '" + key + "' is missing");
  if (it->type() != type) throw WireError("field '" + key + "' has the wrong type");
  return *it;
}
const Json& need_object(const Json& object, const std::string& key) {
  return need_member(object, key, Json::value_t::object);
}
const Json& need_array(const Json& object, const std::string& key) {
  return need_member(object, key, Json::value_t::array);
}

template <class E>
E word(const std::string& value, const std::string& key,
       std::initializer_list<std::pair<const char*, E>> words) {
  for (const auto& [name, code] : words) {
    if (value == name) return code;
  }
  throw WireError("field '" + key + "': unknown word '" + value + "'");
}

// The same for a word that only informs: one that is not known here may be new.
template <class E>
E known_word(const Json& object, const std::string& key, E absent,
             std::initializer_list<std::pair<const char*, E>> words) {
  const auto value = opt<std::string>(object, key);
  for (const auto& [name, code] : words) {
    if (value == name) return code;
  }
  return absent;
}

Verdict parse_verdict(const std::string& value) {
  return word<Verdict>(value, "verdict",
                       {{"S", Verdict::kServed},
                        {"E", Verdict::kError},
                        {"F", Verdict::kFull},
                        {"T", Verdict::kTimeout},
                        {"C", Verdict::kConnectFailed},
                        {"R", Verdict::kReset},
                        {"X", Verdict::kCancelled},
                        {"N", Verdict::kNeverSent},
                        {"ready_to_answer", Verdict::kRead}});
}

std::optional<double> opt_number(const Json& object, const std::string& key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return std::nullopt;
  return convert<double>(*it, key);
}

LoadReport parse_report(const Json& fields) {
  const auto it = fields.find("pressure");
  if (it == fields.end() || it->is_null()) return {};
  if (!it->is_object()) throw WireError("field 'pressure': object expected");
  return parse_load(*it);
}

// JSON array element i as a number, 0 where the array is shorter.
double element(const Json& object, const std::string& key, std::size_t i) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_array() || i >= it->size()) return 0.0;
  return convert<double>((*it)[i], key);
}

}  // namespace

LoadReport parse_load(const Json& fields) {
  LoadReport report;
  report.in_hand = opt_number(fields, "rif");
  report.memory_share = opt_number(fields, "x0");
  report.prompt_kilotokens = opt_number(fields, "x1");
  return report;
}

namespace {

// An object that may be missing; then all that stands in it is absent.
const Json& opt_object(const Json& object, const std::string& key) {
  static const Json none = Json::object();
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return none;
  if (!it->is_object()) throw WireError("field '" + key + "' has the wrong type");
  return *it;
}

std::vector<std::string> opt_words(const Json& object, const std::string& key) {
  std::vector<std::string> words;
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return words;
  if (!it->is_array()) throw WireError("field '" + key + "' has the wrong type");
  for (const Json& name : *it) words.push_back(convert<std::string>(name, key));
  return words;
}

// Names that are not known here may be new: they are passed over.
std::vector<LoadField> parse_load_fields(const Json& info) {
  static const std::pair<const char*, LoadField> names[] = {
      {"rif", LoadField::kInHand},     {"q", LoadField::kQueued},
      {"busy", LoadField::kBusy},      {"lat_ms", LoadField::kLatency},
      {"rate", LoadField::kRate},      {"fail_rate", LoadField::kFailRate},
      {"x0", LoadField::kMemoryShare}, {"x1", LoadField::kPromptKilotokens}};
  std::vector<LoadField> fields;
  for (const std::string& given : opt_words(info, "fields")) {
    for (const auto& [name, field] : names)
      if (given == name) fields.push_back(field);
  }
  return fields;
}

Prices parse_prices(const Json& prices, const Json& info) {
  Prices p;
  p.waste = opt<double>(prices, "waste");
  p.probe = opt<double>(prices, "probe");
  p.cross_zone = opt<double>(prices, "crossZone");
  p.late_fail = opt<double>(prices, "lateFail");
  p.peer = opt<double>(prices, "peer");
  p.far = opt<double>(info, "moveFee");
  p.move = opt<double>(prices, "moves");
  p.connection = opt<double>(prices, "connection");
  p.handshake = opt<double>(prices, "handshake");
  p.list_line = opt<double>(prices, "registryMode");
  return p;
}

}  // namespace

Settings parse_settings(const Json& env) {
  Settings s;
  const Json& info = need_object(env, "familyInfo");
  const Json& limits = need_object(env, "limits");
  const Json& rules = need_object(env, "guarantees");
  s.router_number = need<int>(env, "myNumber");
  s.router_count = need<int>(env, "balancers");
  s.zone = opt<std::string>(env, "myZone");
  s.zones = opt_words(env, "dcs");
  std::size_t i = 0;
  for (const Json& c : need_array(env, "categories")) {
    RequestClass k;
    k.name = need<std::string>(c, "name");
    k.repeat =
        word<Repeat>(need<std::string>(c, "repeat"), "repeat",
                     {{"safe", Repeat::kSafe}, {"keyed", Repeat::kKeyed}, {"unsafe", Repeat::kUnsafe}});
    k.group = word<Group>(opt<std::string>(c, "group", "all"), "group",
                          {{"all", Group::kAll}, {"zone", Group::kZone}, {"cell", Group::kCell}});
    k.window = opt_ms(c, "windowMs");
    k.objective = need_ms(c, "objectiveMs");
    k.deadline = need_ms(c, "deadlineMs");
    k.worth = need<double>(c, "worth");
    k.late_value = opt<double>(c, "lateValue");
    k.objective_stretch = opt<double>(c, "aimStretch");
    k.objective_per_1000_tokens = Duration(std::llround(element(info, "aimUsPer1000PromptTokens", i)));
    k.token_objective = from_ms(element(info, "tokenAimMs", i), "tokenAimMs");
    s.classes.push_back(k);
    ++i;
  }
  const auto tenants = env.find("tenants");
  if (tenants != env.end() && tenants->is_array()) {
    for (const Json& t : *tenants)
      s.tenants.push_back({need<std::string>(t, "name"), opt<double>(t, "quotaRps")});
  }
  const Json& duties = need_array(info, "dutyByKind");
  i = 0;
  for (const Json& name : need_array(env, "hostTypes")) {
    if (i >= duties.size()) throw WireError("field 'dutyByKind' is shorter than 'hostTypes'");
    const Role role = word<Role>(convert<std::string>(duties[i], "dutyByKind"), "dutyByKind",
                                 {{"read", Role::kReader}, {"write", Role::kWriter}, {"both", Role::kMixed}});
    s.kinds.push_back({convert<std::string>(name, "hostTypes"), role, element(info, "memoryTokens", i)});
    ++i;
  }
  s.list_by_asking =
      word<bool>(need<std::string>(env, "registryMode"), "registryMode", {{"push", false}, {"ask", true}});
  s.ask_every = opt_ms(rules, "askEveryMs");
  s.weights = known_word(env, "weights", WeightMeaning::kNothing,
                         {{"nominal", WeightMeaning::kNominal},
                          {"rough", WeightMeaning::kRough},
                          {"live", WeightMeaning::kLive}});
  const Json& reports = opt_object(env, "loadInfo");
  s.report_source = known_word(reports, "source", ReportSource::kNone,
                               {{"piggyback", ReportSource::kInAnswers}, {"pull", ReportSource::kInProbes}});
  s.report_fields = parse_load_fields(reports);
  s.writers_read = opt<bool>(info, "writersRead");
  s.early_pairing = opt<bool>(info, "earlyPairing");
  s.resume = opt<bool>(info, "resume");
  s.pin_limit = need_ms(info, "pinLimitMs");
  s.connect_timeout = opt_ms(limits, "connectTimeoutMs");
  s.idle_close = opt_ms(limits, "idleCloseMs");
  s.may_cancel = opt<bool>(limits, "mayCancel");
  s.may_probe = opt<bool>(limits, "mayProbe");
  s.may_duplicate = opt<bool>(limits, "mayDuplicate");
  s.peers = opt<bool>(limits, "peers");
  s.marks_retry = opt<bool>(opt_object(env, "clientHabits"), "marksRetry");
  s.retry_advice = opt<bool>(limits, "retryAfter");
  s.max_retry_in = opt_ms(limits, "maxRetryAfterMs");
  s.max_attempts = need<int>(limits, "mostTries");
  s.most_open = static_cast<int>(
      std::clamp<double>(opt<double>(limits, "openCap"), 0, std::numeric_limits<int>::max()));
  s.worth_by_work = known_word(env, "worthBy", false, {{"work", true}});
  s.over_share_worth = opt<double>(env, "overShareWorth", 1.0);
  s.prices = parse_prices(opt_object(env, "prices"), info);
  const Json& goal = opt_object(env, "goal");
  s.goal = {opt<double>(goal, "whole"), opt<double>(goal, "worstWindow"), opt<double>(goal, "worstClass"),
            opt<double>(goal, "worstTenant")};
  s.tick = need_ms(env, "granularityMs");
  s.answer_slack = need_ms(rules, "answerSlackMs");
  s.drain_grace = need_ms(rules, "drainGraceMs");
  s.cold_share = need<double>(rules, "coldShare");
  s.cold_time = need_ms(rules, "coldMs");
  s.tip_multiple = need<double>(rules, "tipMultiple");
  s.tip_window = need_ms(rules, "tipAfterMs");
  return s;
}

HostList parse_list(const Json& topology, const Json& page) {
  HostList list;
  switch (need<int>(topology, "how")) {
    case 0:
      list.kind = ListKind::kFull;
      break;
    case 1:
      list.kind = ListKind::kFailed;
      return list;
    case 2:
      list.kind = ListKind::kCached;
      break;
    case 3:
      list.kind = ListKind::kDelta;
      break;
    default:
      throw WireError("field 'how': 0 to 3 expected");
  }
  if (!page.is_array()) throw WireError("field 'ref': no such page");
  for (const Json& e : page) {
    HostEntry entry;
    entry.host = need<std::string>(e, "host");
    entry.zone = opt<std::string>(e, "campus");
    entry.kind = need<std::string>(e, "sku");
    entry.cell = opt<int>(e, "block");
    entry.weight = opt<double>(e, "heft", 1.0);
    entry.started = opt_ms(e, "bornMs");
    switch (need<int>(e, "condition")) {
      case 1:
        entry.state = HostState::kGone;
        break;
      case 2:
        entry.state = HostState::kDraining;
        break;
      case 3:
        entry.state = HostState::kReady;
        break;
      default:
        throw WireError("field 'condition': 1 to 3 expected");
    }
    list.entries.push_back(std::move(entry));
  }
  return list;
}

std::optional<Event> parse_event(const std::string& name, const Json& f) {
  if (name == "workItem") {
    Request r;
    r.id = need<std::string>(f, "req");
    r.request_class = need<std::string>(f, "service");
    if (const auto it = f.find("userGroup"); it != f.end() && it->is_string())
      r.tenant = it->get<std::string>();
    r.session = opt<std::uint64_t>(f, "chat");
    r.shared_prefix = opt<std::uint64_t>(f, "sharedPrefix");
    r.prompt_tokens = need<int>(f, "inputLen");
    r.prefix_tokens = opt<int>(f, "prefixTokens");
    r.max_tokens = opt<int>(f, "nMax");
    r.client_deadline = need_ms(f, "clientDeadlineMs");
    const auto flags = opt<std::uint64_t>(f, "flags");
    if ((flags & 1U) != 0) r.length_hint = opt_ms(f, "hintMs");
    r.client_retry = (flags & 2U) != 0;
    r.resubmitted = (flags & 16U) != 0;
    return r;
  }
  if (name == "closedAttempt") {
    Outcome o;
    o.request = need<std::string>(f, "req");
    o.host = need<std::string>(f, "host");
    o.attempt = opt<int>(f, "trial");
    o.verdict = parse_verdict(need<std::string>(f, "verdict"));
    o.elapsed = opt_ms(f, "delaySeenMs");
    o.finished = opt<bool>(f, "doneFlag");
    o.note = opt<int>(f, "note");
    o.report = parse_report(f);
    return o;
  }
  if (name == "underWay") {
    return FirstToken{need<std::string>(f, "req"), need<std::string>(f, "host"), opt<int>(f, "trial"),
                      opt_ms(f, "delaySeenMs")};
  }
  if (name == "answerAhead") {
    return HoldAnswer{need<std::string>(f, "req"), need<std::string>(f, "host"), need<int>(f, "what") == 1};
  }
  if (name == "clientLeft") return ClientGone{need<std::string>(f, "req")};
  if (name == "tickDue") return Timer{need<std::uint64_t>(f, "tag")};
  return std::nullopt;
}

std::string format_action(const std::string& dispatcher, const Action& action) {
  Json fields{{"dispatcher", dispatcher}};
  const char* name = "";
  std::visit(
      [&](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (requires { a.request; }) fields["req"] = a.request;
        if constexpr (requires { a.host; }) fields["host"] = a.host;
        if constexpr (std::is_same_v<A, Send>) {
          name = "attempt";
          if (a.not_past != Time{}) fields["notPastMs"] = to_ms(a.not_past);
        } else if constexpr (std::is_same_v<A, Cancel>) {
          name = "retract";
          fields["trial"] = a.attempt;
        } else if constexpr (std::is_same_v<A, Refuse>) {
          name = "sayNo";
          if (a.retry_in) fields["retryInMs"] = to_ms(*a.retry_in);
        } else if constexpr (std::is_same_v<A, Fail>) {
          name = "lose";
        } else if constexpr (std::is_same_v<A, Move>) {
          name = "bounce";
        } else if constexpr (std::is_same_v<A, Hold>) {
          name = "ahead";
        } else if constexpr (std::is_same_v<A, Release>) {
          name = "dropState";
        } else if constexpr (std::is_same_v<A, SetTimer>) {
          name = "setAlarm";
          fields["fromNowMs"] = to_ms(a.after);
          fields["tag"] = a.tag;
        } else if constexpr (std::is_same_v<A, Subscribe>) {
          name = "tail";
          fields["on"] = true;
        } else if constexpr (std::is_same_v<A, Log>) {
          name = "remark";
          fields["msg"] = a.text;
        }
      },
      action);
  return Json{{name, fields}}.dump();
}

std::optional<std::string> Session::feed(const std::string& line) {
  if (line.find_first_not_of(" \t\r") == std::string::npos) return std::nullopt;
  const Json message = Json::parse(line, nullptr, false);
  if (message.is_discarded()) throw WireError("not JSON");
  if (!message.is_object() || message.size() != 1 || !message.begin().value().is_object()) {
    throw WireError("an object with one named object expected");
  }
  const std::string& name = message.begin().key();
  const Json& fields = message.begin().value();
  if (name == "turn") {
    now_ = need_ms(fields, "tMs");
  } else if (name == "flush") {
    std::string reply = std::move(reply_) + "{\"eor\":{}}\n";
    reply_.clear();
    return reply;
  } else if (name == "page") {
    const auto ref = opt<std::uint64_t>(fields, "ref");
    if (ref >= pages_.size()) throw WireError("field 'ref': 0 to 15 expected");
    pages_.at(ref) = need_array(fields, "membersList");
  } else {
    dispatch(name, fields);
  }
  return std::nullopt;
}

void Session::dispatch(const std::string& name, const Json& fields) {
  const bool lists = name == "topology";
  std::optional<Event> event;
  if (lists) {
    const auto ref = opt<std::uint64_t>(fields, "ref");
    if (ref >= pages_.size()) throw WireError("field 'ref': 0 to 15 expected");
    event = parse_list(fields, pages_.at(ref));
  } else if (name != "boot" && name != "crashNow") {
    event = parse_event(name, fields);
    if (!event) return;
  }
  const auto dispatcher = need<std::string>(fields, "dispatcher");
  if (name == "crashNow") {
    routers_.erase(dispatcher);
    return;
  }
  std::vector<Action> actions;
  if (name == "boot") {
    const Settings settings = parse_settings(need_object(fields, "env"));
    try {
      routers_[dispatcher].emplace(settings, need<std::uint64_t>(fields, "seed"));
    } catch (const std::invalid_argument& e) {
      routers_.erase(dispatcher);
      reply_ += Json{{"exception", {{"dispatcher", dispatcher}, {"msg", e.what()}}}}.dump() + "\n";
    }
    return;
  }
  const auto it = routers_.find(dispatcher);
  if (it == routers_.end() || !it->second) return;
  for (const Action& action : it->second->handle(now_, *event)) {
    reply_ += format_action(dispatcher, action) + "\n";
  }
}

}  // namespace basaltvane::wire
