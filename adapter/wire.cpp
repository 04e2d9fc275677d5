#include "wire.hpp"

#include <type_traits>

#include "fields.hpp"

namespace dispatcher::wire {

using namespace routing;  // the types that are translated

namespace {

[[noreturn]] void misfit(const std::string& key, const char* wanted) {
  throw WireError("field '" + key + "': " + wanted + " expected");
}
template <class T>
T opt(const Json& object, const std::string& key, T absent = {}) {
  const Json* value = find(object, key);
  if (value == nullptr) return absent;
  if (!fits<T>(*value)) misfit(key, expected<T>());
  return convert<T>(*value);
}
template <class T>
T need(const Json& object, const std::string& key) {
  if (find(object, key) == nullptr) throw WireError("field '" + key + "' is missing");
  return opt<T>(object, key);
}
Duration opt_ms(const Json& object, const std::string& key) {
  const Json* value = find(object, key);
  if (value == nullptr) return {};
  if (!fits_ms(*value)) misfit(key, "number of milliseconds");
  return from_ms(value->get<double>());
}
Duration need_ms(const Json& object, const std::string& key) {
  if (find(object, key) == nullptr) throw WireError("field '" + key + "' is missing");
  return opt_ms(object, key);
}
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

AttemptStatus parse_verdict(const std::string& value) {
  return word<AttemptStatus>(value, "verdict",
                             {{"S", AttemptStatus::kServed},
                              {"E", AttemptStatus::kError},
                              {"F", AttemptStatus::kFull},
                              {"T", AttemptStatus::kTimeout},
                              {"C", AttemptStatus::kConnectFailed},
                              {"R", AttemptStatus::kReset},
                              {"X", AttemptStatus::kCancelled},
                              {"N", AttemptStatus::kNeverSent},
                              {"ready_to_answer", AttemptStatus::kRead}});
}

std::optional<double> opt_number(const Json& object, const std::string& key) {
  if (find(object, key) == nullptr) return std::nullopt;
  return opt<double>(object, key);
}

LoadReport parse_report(const Json& fields) {
  const auto it = fields.find("pressure");
  if (it == fields.end() || it->is_null()) return {};
  if (!it->is_object()) throw WireError("field 'pressure': object expected");
  return parse_load(*it);
}

}  // namespace

LoadReport parse_load(const Json& fields) {
  LoadReport report;
  report.in_hand = opt_number(fields, "rif");
  report.memory_share = opt_number(fields, "x0");
  report.prompt_kilotokens = opt_number(fields, "x1");
  return report;
}

EndpointList parse_list(const Json& topology, const Json& page) {
  EndpointList list;
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
    EndpointInfo entry;
    entry.endpoint = need<std::string>(e, "host");
    entry.zone = opt<std::string>(e, "campus");
    entry.kind = need<std::string>(e, "sku");
    entry.cell = opt<int>(e, "block");
    entry.weight = opt<double>(e, "heft", 1.0);
    entry.started = opt_ms(e, "bornMs");
    switch (need<int>(e, "condition")) {
      case 1:
        entry.state = EndpointState::kRemoved;
        break;
      case 2:
        entry.state = EndpointState::kDraining;
        break;
      case 3:
        entry.state = EndpointState::kReady;
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
    AttemptCompleted o;
    o.request = need<std::string>(f, "req");
    o.endpoint = need<std::string>(f, "host");
    o.attempt = opt<int>(f, "trial");
    o.status = parse_verdict(need<std::string>(f, "verdict"));
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
    return ReservationResult{need<std::string>(f, "req"), need<std::string>(f, "host"),
                             need<int>(f, "what") == 1};
  }
  if (name == "clientLeft") return ClientGone{need<std::string>(f, "req")};
  if (name == "tickDue") return TimerExpired{need<std::uint64_t>(f, "tag")};
  return std::nullopt;
}

std::string format_action(const std::string& dispatcher, const Action& action) {
  Json fields{{"dispatcher", dispatcher}};
  const char* name = "";
  std::visit(
      [&](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (requires { a.request; }) fields["req"] = a.request;
        if constexpr (requires { a.endpoint; }) fields["host"] = a.endpoint;
        if constexpr (std::is_same_v<A, StartAttempt>) {
          name = "attempt";
          if (a.deadline != Time{}) fields["notPastMs"] = to_ms(a.deadline);
        } else if constexpr (std::is_same_v<A, CancelAttempt>) {
          name = "retract";
          fields["trial"] = a.attempt;
        } else if constexpr (std::is_same_v<A, Reject>) {
          name = "sayNo";
          if (a.retry_after) fields["retryInMs"] = to_ms(*a.retry_after);
        } else if constexpr (std::is_same_v<A, Fail>) {
          name = "lose";
        } else if constexpr (std::is_same_v<A, MigrateStream>) {
          name = "bounce";
        } else if constexpr (std::is_same_v<A, ReserveSlot>) {
          name = "ahead";
        } else if constexpr (std::is_same_v<A, ReleaseReservation>) {
          name = "dropState";
        } else if constexpr (std::is_same_v<A, SetTimer>) {
          name = "setAlarm";
          fields["fromNowMs"] = to_ms(a.after);
          fields["tag"] = a.tag;
        } else if constexpr (std::is_same_v<A, Subscribe>) {
          name = "tail";
          fields["on"] = true;
        } else if constexpr (std::is_same_v<A, LogMessage>) {
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

}  // namespace dispatcher::wire
