#include "node/read_admission.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace quillgrade::node {

void admit_readers(std::span<Reader> readers, std::size_t available) {
    std::vector<Reader*> order;
    order.reserve(readers.size());
    for (auto& reader : readers) order.push_back(&reader);
    std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) {
        return std::tuple(a->stalled, a->since) < std::tuple(b->stalled, b->since);
    });
    bool room = true;
    for (auto* reader : order) {
        // Nothing younger is admitted past one that has no room, or it might never have any.
        room = room && reader->remaining <= available;
        reader->admitted = room;
        if (room) available -= reader->remaining;
    }
}

}  // namespace quillgrade::node
