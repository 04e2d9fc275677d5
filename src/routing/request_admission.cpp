#include "routing/request_admission.hpp"

#include "routing/cached_prompts.hpp"

namespace dispatcher::routing {

RequestState RequestAdmission::admit(const Context& context, const Request& request,
                                     const RequestClass& request_class, double reader_count) {
  RequestState state;
  state.request = request;
  state.settings = context.settings;
  state.request_class = &request_class;
  state.idle_since = context.now;
  state.is_over_quota = quota_.is_over_quota(request.tenant, context.now);
  affinity_.record(request.shared_prefix);
  state.affinity_key = affinity_.affinity_key(request, context.settings->router_number, reader_count);
  state.session_key = session_key(request);
  return state;
}

}  // namespace dispatcher::routing
