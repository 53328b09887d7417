// The order in which endpoints are asked to take a request.
#pragma once
#include <cmath>

#include "policy/constants.h"
#include "policy/hash_ring.h"
#include "policy/messages.h"

namespace dapplewharf {

// The consistent hash ring: says in which order hosts are asked to take an attachment.
class EndpointSelector {
 public:
  explicit EndpointSelector(PolicyContext& around) : context_(around) {}

  void read(const SelectorMessage& message) {
    std::visit([this](const auto& one) { handle(one); }, message);
  }

 private:
  void handle(const WeightsFreezeChanged& message) {
    frozen_ = message.frozen;
    for (const auto& [id, weight] : std::exchange(told_, {})) {
      cards_[id].weight = weight;
    }
  }
  void handle(const SelectEndpoints& message) { answer(*message.query, message.fleet); }
  void handle(const StatusChanged& message) {
    const auto [at, fresh] = cards_.try_emplace(message.endpoint, message.status);
    if (fresh || at->second.size != message.status.size) {
      stale_ = true;
    }
    const double weight = fresh || !frozen_ ? message.status.weight : at->second.weight;
    if (frozen_) {
      told_[message.endpoint] = message.status.weight;
    }
    at->second = message.status;
    at->second.weight = weight;  // frozen: the weight stays, all else is kept up
  }

  static int points_of(const EndpointStatus& card) {
    return std::max(1, static_cast<int>(std::lround(kPoints * card.size)));
  }

  // The client key. Where connections of a group share work the group stands in for it: each host that holds
  // any of a group pays for it, and client keys would spread it over all hosts. Without either, the id.
  // Danger: nodes that hold little and hear of no other's fill one host with a group larger than any host.
  // Its members here tell how large it is: so many parts have keys of their own.
  static std::uint64_t key_of(const RequestAttributes& request, int part) {
    if (request.affinity_group) {
      return hash(static_cast<std::uint64_t>(*request.affinity_group + part));
    }
    if (request.client_key) {
      return hash(static_cast<std::uint64_t>(*request.client_key));
    }
    return hash(request.id);
  }

  void answer(const SelectionQuery& query, const FleetStatistics& fleet) {
    if (std::exchange(stale_, false)) {
      circle_.lay(cards_, points_of);
    }
    std::vector<std::pair<int, const std::string*>> ranked;  // rank, then the order of the ring
    std::size_t good = 0;
    const auto taken = [&](const EndpointStatus& card) {  // so many of its points are its own
      return static_cast<int>(
          std::lround((query.request.is_mid_connection ? 1 : card.weight) * points_of(card)));
    };
    const bool crowd = fleet.crowd_limit > 0;
    const int parts = fleet.alone ? 1 + static_cast<int>(query.group_connections / fleet.each) : 1;
    const int part = parts > 1 ? static_cast<int>(context_.random.share() * parts) : 0;
    circle_.walk(key_of(query.request, part), taken, [&](const std::string& id, const EndpointStatus& card) {
      const bool fits = query.deduplicating_endpoint.empty() || drops_repeats(query, card);
      // Danger: a host that drops connections is over its end; more are dropped too and come again at once.
      const bool over = std::max(card.shedding, card.late) > context_.now;
      // Danger: where hosts are replaced, those that left stand first in a route and crowd out who is there.
      if (!fits || ((over || !card.healthy) && !query.request.is_mid_connection)) {
        return true;
      }
      if (good < kEnough || card.cold > context_.now) {
        ranked.emplace_back(rank(query, fleet, id, card), &id);
      }
      if (ranked.back().first <= 1) {
        ++good;
      }
      return good < kEnough || (crowd && fleet.some_cold);
    });
    if (parts > 1 && !ranked.empty() && ranked.front().first <= 3) {
      ranked.front().first = 0;
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    auto order = std::make_shared<std::vector<std::string>>();
    std::vector<std::string> last;
    // Danger: a crowd scatters a group over every host that takes one, and each pays. Told room goes before.
    const auto asks =
        std::max<std::size_t>(1, static_cast<std::size_t>(kScatter / context_.settings.node_count));
    // Danger: a narrow route seldom leads to a cold host whose turn this node has, and they stay empty beside
    // full ones: all of them are asked, in the order of the group's ring, before anybody is rejected.
    for (const auto& [rank, id] : ranked) {
      if (!crowd || order->size() < asks || cards_[*id].roomy > context_.now) {
        order->push_back(*id);
      } else if (cards_[*id].cold > context_.now && rank < 6) {
        last.push_back(*id);
      }
    }
    order->insert(order->end(), last.begin(), last.end());
    CandidateList candidates;
    candidates.request_id = query.request.id;
    candidates.deadline = query.request.deadline;
    candidates.is_mid_connection = query.request.is_mid_connection;
    candidates.endpoints = std::move(order);
    candidates.fleet = fleet;
    context_.post_to_request_table(std::move(candidates));
  }

  // Danger: a repeat outside the group that knows the mark takes effect a second time.
  bool drops_repeats(const SelectionQuery& query, const EndpointStatus& card) const {
    const auto first = cards_.find(query.deduplicating_endpoint);
    if (query.scope == DeduplicationScope::all || first == cards_.end()) {
      return query.scope == DeduplicationScope::all;
    }
    return query.scope == DeduplicationScope::zone ? card.zone == first->second.zone
                                                   : card.cell == first->second.cell;
  }

  // Lower is asked earlier; within one rank the ring decides.
  int rank(const SelectionQuery& query, const FleetStatistics& fleet, const std::string& id,
           const EndpointStatus& card) const {
    // Danger: each zone's nodes gather a group on hosts of their own, and each pays more than its connections
    // weigh. While room counts the ring is the same for all; where crossing is dear only when it is short.
    // Where hosts report no load nobody sees room run out, and scattered groups are not brought together
    // again.
    const bool crowd = fleet.crowd_limit > 0;
    const bool room_counts = crowd || fleet.load > kBusy || !context_.settings.load_report_index;
    const bool gathers =
        query.request.affinity_group &&
        (context_.settings.cross_zone_price <= kDear ? room_counts : crowd && query.shortage);
    const bool near = card.zone == context_.settings.zone || gathers;
    if (std::count(query.tried.begin(), query.tried.end(), id)) {
      return 9;  // it has failed this attachment
    }
    if (query.request.is_mid_connection) {
      return near ? 0 : 1;
    }
    const bool home = query.affinity_endpoints.count(id) != 0;  // the group's work is paid for there already
    // Danger: where a node holds next to nothing none sees a host well over, and all of them heap work there.
    const bool told = fleet.mean * card.size < kOverBy && fleet.held >= 0 && card.elsewhere >= 0;
    const double share = (told ? fleet.held : fleet.mean) * card.size;
    const double open = card.open + 1 + (told ? card.elsewhere : 0);
    const bool over = open >= share + kOverBy && open > share * (home && !told ? kHomeOver : kWellOver);
    // Danger: a node that starts anew in a crowd knows no delays and heaps all of it on its one near host.
    const bool full = fleet.granted > 0 && open * 2 > fleet.granted * card.size;
    if (card.strained > context_.now) {
      return near ? 6 : 7;
    }
    if (home && !over && !full) {
      return near ? 0 : 3;
    }
    if (near && !full) {
      return over ? 2 : 1;
    }
    return over || full ? 5 : 4;
  }

  PolicyContext& context_;
  std::map<std::string, EndpointStatus> cards_;
  std::map<std::string, double> told_;  // weights told while frozen: they hold from the thaw on
  HashRing circle_;
  bool stale_ = true, frozen_ = false;
};

}  // namespace dapplewharf
