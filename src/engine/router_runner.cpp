#include "engine/router_runner.hpp"

#include <utility>

namespace dispatcher::engine {

void RouterRunner::handle(routing::Event event) {
  queue_.push_back(std::move(event));
  if (is_handling_) return;
  is_handling_ = true;
  while (!queue_.empty()) {
    const routing::Event next = std::move(queue_.front());
    queue_.pop_front();
    for (const routing::Action& action : router_.handle(clock_(), next)) execute_(action);
  }
  is_handling_ = false;
}

}  // namespace dispatcher::engine
