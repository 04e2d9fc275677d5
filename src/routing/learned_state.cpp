#include "routing/learned_state.hpp"

namespace dispatcher::routing {

LearnedState save_learned_state(const Context& context, const ResponseObserver& observer,
                                const EndpointTable& endpoints) {
  LearnedState learned_state;
  observer.save(learned_state);
  for (const auto& [name, endpoint] : endpoints.entries()) {
    if (!is_warming_up(context, endpoint)) continue;
    const auto& sends = endpoint.sends_while_warming_up;
    learned_state.endpoints.push_back({name, {sends.begin(), sends.end()}, endpoint.reinstated_at});
  }
  return learned_state;
}

void restore_learned_state(const LearnedState& learned_state, const Context& context,
                           ResponseObserver& observer, EndpointTable& endpoints) {
  observer.restore(context, learned_state);
  for (const LearnedState::EndpointHistory& history : learned_state.endpoints) {
    Endpoint* endpoint = endpoints.find(history.endpoint);
    if (endpoint == nullptr) continue;
    endpoint->sends_while_warming_up.assign(history.sends.begin(), history.sends.end());
    endpoint->reinstated_at = history.returned_at;
  }
  observer.update(context, endpoints);
}

}  // namespace dispatcher::routing
