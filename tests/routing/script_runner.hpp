// Runs drawn scripts of events against a router. The numbers of each step select among the requests, attempts
// and endpoints that exist at that moment.
#ifndef DISPATCHER_TESTS_ROUTING_SCRIPT_RUNNER_HPP_
#define DISPATCHER_TESTS_ROUTING_SCRIPT_RUNNER_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model_dispatcher.hpp"
#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// One step of a script. It has no effect if there is nothing to select from.
struct Step {
  int kind{}, target{}, variant{}, amount{};  // 0 to 999 each
};

// How the open requests and attempts end.
enum class Ending {
  kRunOut,      // attempts time out and deadlines pass by themselves
  kDisconnect,  // clients disconnect and attempts break first, so that no deadline has to pass
};

// Owns the router and the dispatcher around it. Single-threaded, in virtual time.
class ScriptRunner {
 public:
  // The router starts with the first settings; steps apply the others in turn.
  ScriptRunner(std::vector<Settings> settings, std::vector<EndpointInfo> endpoints, std::uint64_t seed)
      : dispatcher_(std::move(settings), seed), first_endpoints_(std::move(endpoints)) {}

  void set_observer(ModelDispatcher::Observer observer) { dispatcher_.set_observer(std::move(observer)); }
  // start(), run() and finish() throw InvariantViolation if a rule is violated.
  void start();  // sends the first endpoint list
  void run(const Step& step);
  // Ends everything that is open and checks that afterwards no request, prompt state or timer is left.
  void finish(Ending ending = Ending::kRunOut);

  [[nodiscard]] const std::vector<std::string>& transcript() const { return dispatcher_.transcript(); }
  [[nodiscard]] const Router& router() const { return dispatcher_.router(); }

 private:
  struct AttemptChoice {
    const ModelRequest* request;
    std::size_t number;
    [[nodiscard]] const ModelAttempt& attempt() const { return request->attempts[number]; }
    [[nodiscard]] const RequestId& id() const { return request->request.id; }
  };
  enum class Selection { kAnyActive, kBeforeFirstToken };

  [[nodiscard]] std::optional<AttemptChoice> choose_attempt(int target, Selection selection) const;
  [[nodiscard]] const ModelEndpoint& choose_endpoint(int target) const;

  void submit(const Step& step);
  [[nodiscard]] Request draw_request(const Step& step, const RequestClass& request_class);
  void progress(const Step& step);
  void fail_attempt(const Step& step);
  void disconnect_client(const Step& step);
  void advance(const Step& step);
  void change_endpoints(const Step& step);
  void send_shortened_list(const Step& step);
  void send_endpoint_change(const Step& step);
  EndpointId replacement_of(const EndpointId& endpoint);
  void change_administrative_drain(const Step& step);
  void send_peer_event(const Step& step);
  void send_reservation_result(const Step& step);

  void disconnect_everything();
  void serve_streams();
  [[nodiscard]] bool has_open_request() const;

  ModelDispatcher dispatcher_;
  std::vector<EndpointInfo> first_endpoints_;
  int submitted_ = 0, replaced_endpoints_ = 0;
};

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_SCRIPT_RUNNER_HPP_
