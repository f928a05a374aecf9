#include "node/request_admission.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace quillgrade::node {

namespace {

using Decision = IncomingRequest::Decision;

std::vector<IncomingRequest*> waiting_in_order(std::span<IncomingRequest> requests) {
    std::vector<IncomingRequest*> waiting;
    for (auto& request : requests)
        if (request.wanted > 0) waiting.push_back(&request);
    std::ranges::stable_sort(waiting, {}, &IncomingRequest::waits_since);
    return waiting;
}

// Requests whose room can be taken back, the first to be refused at the front.
class Refusable {
public:
    Refusable(std::span<IncomingRequest> requests, std::size_t share_of_slow) : share_of_slow(share_of_slow) {
        for (auto& request : requests) {
            if (request.sender == Sender::Steady) continue;
            order.push_back(&request);
            if (request.sender == Sender::Slow) held_by_slow += request.room;
        }
        std::ranges::stable_sort(order, [](auto* a, auto* b) {
            return std::tuple(a->sender == Sender::Slow, b->remaining) <
                   std::tuple(b->sender == Sender::Slow, a->remaining);
        });
    }
    // Refuses the next one, on behalf of another, and gives the bytes that this frees; 0: there is none.
    std::size_t refuse_next(const IncomingRequest& on_behalf_of) {
        if (next == order.size() || order[next] == &on_behalf_of) return 0;
        auto& request = *order[next];
        bool slow = request.sender == Sender::Slow;
        if (slow && held_by_slow <= share_of_slow) return 0;
        next++;
        if (slow) held_by_slow -= request.room;
        bool granted = std::exchange(request.decision, Decision::Refuse) == Decision::Grant;
        return request.room + (granted ? request.wanted : 0);
    }

private:
    std::size_t share_of_slow, held_by_slow = 0, next = 0;
    std::vector<IncomingRequest*> order;
};

}  // namespace

void admit_requests(std::span<IncomingRequest> requests, std::size_t available, std::size_t share_of_slow,
                    Micros now) {
    Refusable refusable(requests, share_of_slow);
    bool in_turn = true;  // nobody is passed by one that came later, or a long request might never have room
    for (auto* request : waiting_in_order(requests)) {
        if (request->decision == Decision::Refuse) continue;
        while (in_turn && available < request->wanted) {
            auto freed = refusable.refuse_next(*request);
            if (freed == 0) break;
            available += freed;
        }
        if (in_turn && available >= request->wanted) {
            request->decision = Decision::Grant;
            available -= request->wanted;
        } else if (now - request->waits_since >= request->longest_wait) {
            request->decision = Decision::Refuse;
            available += request->room;
        } else {
            in_turn = false;
        }
    }
}

}  // namespace quillgrade::node
