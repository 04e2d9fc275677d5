// The other process of this dispatcher while one takes over from the other: what each tells the other, in
// typed form. Which of it binds whom is said in docs/architecture.md, "Upgrade".
#ifndef DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_
#define DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "hot_restart/handover_channel.hpp"

namespace dispatcher::hot_restart {

// What the process that serves hands to the one that takes over.
struct HandoverState {
  Json list;  // in discovery's form; null: none
  std::vector<std::string> ids;
  routing::LearnedState learned_state;
  Json level;                                      // of reduced service, as the elder tells it
  std::map<std::string, net::UniqueFd> listening;  // sockets, by the front that they are for
};

Json to_json(const routing::LearnedState& learned_state);
routing::LearnedState parse_knowledge(const Json& object);  // what can't be read is left at its default

class HotRestartPeer : public engine::HotRestartObserver {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // The listening sockets in the estate are the owner's still: copies are sent.
    virtual Json list() = 0;
    virtual std::map<std::string, int> listening() = 0;
    virtual std::vector<std::string> open_ids() = 0;
    virtual routing::LearnedState learned_state() = 0;
    virtual Json level() = 0;
    virtual void inherit(
        HandoverState handover) = 0;  // once, also where there is nobody: with an empty estate then
    virtual void on_ban(const std::string& endpoint, bool offline) = 0;
    virtual void on_request(const std::string& id, bool open) = 0;
    virtual void on_sent(const std::string& endpoint) = 0;
    virtual void on_stream(const Json& facts, net::UniqueFd client, net::UniqueFd replica) = 0;
    virtual void on_vrrp(bool was_active) = 0;  // the elder left the pair, whose active one it was or not
    virtual void on_partners() = 0;             // there is one now, or none any more, or it serves
  };
  // `path` empty: there never is another.
  HotRestartPeer(boost::asio::io_context& io, const std::string& path, engine::TimerQueue& timers,
                 engine::Clock clock, engine::Log log, Owner& owner);
  void start();    // looks for the process to take over from
  void serving();  // from now on another may take over from this one
  void close();

  [[nodiscard]] bool shared() const { return elder_.link != nullptr || younger_.link != nullptr; }
  [[nodiscard]] bool all_sent() const;  // a process that ends before takes with it what it handed over
  [[nodiscard]] bool has_elder() const { return elder_.link != nullptr; }
  [[nodiscard]] bool succeeded() const { return younger_.link != nullptr && younger_serves_; }
  void tell_ban(const std::string& endpoint, bool offline);
  void tell_vrrp(bool was_active);
  void give_stream(const Json& facts, int client, int replica);  // goes on at the younger process
  void on_request_progress(const std::string& id, engine::RequestProgress progress) override;
  void on_attempt_started(const std::string& endpoint) override;

 private:
  struct End : HandoverChannel::Owner {
    explicit End(HotRestartPeer& p) : peer(p) {}
    void on_message(const Json& message, Fds fds) override { peer.take(*this, message, std::move(fds)); }
    void on_link_ended() override { peer.ended(*this); }
    HotRestartPeer& peer;
    std::shared_ptr<HandoverChannel> link;
  };
  void welcome(net::UniqueFd visitor);
  void take(End& end, const Json& message, Fds fds);
  void inherit(const Json& message, Fds fds);
  void ended(End& end);
  void go_on_alone();
  void tell(const Json& message);

  boost::asio::io_context& io_;
  std::string path_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  Owner& owner_;
  HandoverListener door_;
  End elder_{*this}, younger_{*this};
  bool begun_ = false;  // the owner has its estate
  bool younger_serves_ = false;
  engine::TimerQueue::Id patience_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_
