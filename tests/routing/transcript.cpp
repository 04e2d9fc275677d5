#include "transcript.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <ostream>
#include <sstream>
#include <variant>

namespace dispatcher::routing::testing {
namespace {

// In the order of the enumerations.
constexpr std::array<const char*, 9> kStatusNames = {
    "served", "error", "full", "timeout", "connect failed", "reset", "cancelled", "never sent", "read"};
constexpr std::array<const char*, 3> kStateNames = {"removed", "draining", "ready"};
constexpr std::array<const char*, 4> kListNames = {"full", "failed", "cached", "delta"};

void write(std::ostream& out, const EndpointInfo& endpoint) {
  out << endpoint.endpoint << "(" << endpoint.kind << ", " << endpoint.zone << "/" << endpoint.cell << ", "
      << kStateNames.at(static_cast<std::size_t>(endpoint.state));
  if (endpoint.started != Time{}) out << ", started " << format_time(endpoint.started);
  out << ")";
}

void write(std::ostream& out, const EndpointList& list) {
  out << "endpoint list " << kListNames.at(static_cast<std::size_t>(list.kind));
  for (const EndpointInfo& endpoint : list.entries) {
    out << " ";
    write(out, endpoint);
  }
}

void write(std::ostream& out, const Request& request) {
  out << "request " << request.id << " class " << request.request_class << " tokens " << request.prompt_tokens
      << " deadline " << format_time(request.client_deadline);
}

void write(std::ostream& out, const AttemptCompleted& completed) {
  out << "completed " << completed.request << " attempt " << completed.attempt << " at " << completed.endpoint
      << ": " << kStatusNames.at(static_cast<std::size_t>(completed.status));
  if (completed.finished) out << ", finished";
  if (completed.cached_prompt_tokens != 0) out << ", cached " << completed.cached_prompt_tokens;
  if (completed.evidence != AttemptEvidence::kNone) out << ", with evidence";
}

void write(std::ostream& out, const FirstToken& token) {
  out << "first token " << token.request << " attempt " << token.attempt << " at " << token.endpoint;
}

void write(std::ostream& out, const ReservationResult& result) {
  out << "reservation " << result.request
      << (result.outcome == ReservationOutcome::kReserved ? " held" : " not held");
}

void write(std::ostream& out, const ClientGone& event) { out << "client gone " << event.request; }

void write(std::ostream& out, const TimerExpired& expired) { out << "timer " << expired.tag; }

void write(std::ostream& out, const AdministrativeDrain& drain) {
  out << "administrative drain " << drain.endpoint
      << (drain.state == AdministrativeState::kDrained ? " offline" : " online");
}

void write(std::ostream& out, const LearnedState&) { out << "learned state"; }

void write(std::ostream& out, const PeerForwarded& forwarded) {
  out << "peer forwarded to " << forwarded.endpoint;
}

void write(std::ostream& out, const SettingsChanged&) { out << "settings changed"; }

void write(std::ostream& out, const StartAttempt& start) {
  out << "start " << start.request << " at " << start.endpoint << " deadline " << format_time(start.deadline);
}

void write(std::ostream& out, const CancelAttempt& cancel) {
  out << "cancel " << cancel.request << " attempt " << cancel.attempt;
}

void write(std::ostream& out, const Reject& reject) {
  out << "reject " << reject.request;
  if (reject.retry_after) out << " retry after " << format_time(*reject.retry_after);
}

void write(std::ostream& out, const Fail& fail) { out << "fail " << fail.request; }

void write(std::ostream& out, const MigrateStream& migrate) { out << "migrate " << migrate.request; }

void write(std::ostream& out, const ReserveSlot& reserve) {
  out << "reserve " << reserve.request << " at " << reserve.endpoint;
}

void write(std::ostream& out, const ReleaseReservation& release) { out << "release " << release.request; }

void write(std::ostream& out, const SetTimer& timer) {
  out << "timer " << timer.tag << " after " << format_time(timer.after);
}

void write(std::ostream& out, const Subscribe&) { out << "subscribe"; }

void write(std::ostream& out, const LogMessage& message) { out << "log " << message.text; }

template <class Variant>
std::string describe_alternative(const Variant& variant) {
  std::ostringstream out;
  std::visit([&out](const auto& alternative) { write(out, alternative); }, variant);
  return out.str();
}

}  // namespace

std::string format_time(Duration time) {
  std::ostringstream out;
  out.precision(12);
  out << static_cast<double>(time.count()) / 1000 << " ms";
  return out.str();
}

std::string describe(const Event& event) { return describe_alternative(event); }

std::string describe(const Action& action) { return describe_alternative(action); }

}  // namespace dispatcher::routing::testing
