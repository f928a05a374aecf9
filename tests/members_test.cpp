// Who wins when both the coordinator and a version speak of a box.
#include <doctest/doctest.h>

#include <random>

#include "helpers.hpp"
#include "members/book.hpp"

using namespace quillgrade;
using namespace quillgrade::members;

namespace {

feed::Endpoint box(CacheId id, EndpointState listed = EndpointState::Ready, int port = 80, int kind = 0,
                   int zone = 1) {
    return {{id, listed, 1, kind, 0, zone, 0},
            0x0a010000U + static_cast<std::uint32_t>(id),
            static_cast<std::uint16_t>(port)};
}

feed::Listing listing(std::vector<feed::Endpoint> all, bool complete = false) {
    return {complete, std::move(all)};
}

std::shared_ptr<const Endpoints> version(std::vector<feed::Endpoint> all) {
    return std::make_shared<const Endpoints>(std::move(all));
}

// What the router believes after it was told all changes.
struct Believed {
    void hear(const feed::Listing& changes) {
        CHECK(!changes.complete);
        bool leaving = false;
        for (auto& one : changes.caches) {
            if (one.entry.state == EndpointState::Gone) {
                leaving = true;
                CHECK(now.erase(one.entry.id) == 1);
            } else {
                CHECK(!leaving);  // make before break
                now[one.entry.id] = one;
            }
        }
    }
    EndpointState state(CacheId id) const {
        return now.contains(id) ? now.at(id).entry.state : EndpointState::Gone;
    }
    std::map<CacheId, feed::Endpoint> now;
};

struct Told {
    explicit Told(operate::Membership membership = operate::Membership::Merged)
        : book(a_site(), terms().zones, membership) {}
    void platform(const feed::Listing& news, Micros at = noon) {
        router.hear(book.update_from_coordinator(news, at));
    }
    void streamed(std::shared_ptr<const Endpoints> boxes, Micros at = noon) {
        router.hear(book.update_from_stream(std::move(boxes), at));
    }
    MergedEndpoints book;
    Believed router;
};

}  // namespace

TEST_CASE("boxes of both are members, with the coordinator's address where both name one") {
    Told told;
    told.platform(listing({box(1), box(2)}, true));
    told.streamed(version({box(2, EndpointState::Ready, 99), box(3, EndpointState::Ready, 99)}));
    CHECK(told.router.now.size() == 3);
    CHECK(told.router.now.at(2).port == 80);
    CHECK(told.router.now.at(3).port == 99);
    told.streamed(nullptr);
    CHECK(told.router.now.size() == 2);
}

TEST_CASE("a drain holds, whichever told it, until that one takes it back") {
    Told told;
    told.platform(listing({box(1), box(2)}, true));
    told.streamed(version({box(1, EndpointState::Draining), box(2)}));
    CHECK(told.router.state(1) == EndpointState::Draining);
    told.platform(listing({box(1), box(2, EndpointState::Draining)}));
    CHECK(told.router.state(1) == EndpointState::Draining);
    CHECK(told.router.state(2) == EndpointState::Draining);
    told.streamed(version({box(1), box(2)}));
    CHECK(told.router.state(1) == EndpointState::Ready);
    CHECK(told.router.state(2) == EndpointState::Draining);
}

TEST_CASE("a version does not bring back what the coordinator has told gone") {
    for (auto membership : {operate::Membership::Merged, operate::Membership::Streamed}) {
        Told told(membership);
        told.platform(listing({box(1), box(2)}, true));
        told.streamed(version({box(1), box(2)}));
        told.platform(listing({box(1, EndpointState::Gone)}));
        CHECK(told.router.state(1) == EndpointState::Gone);
        told.streamed(version({box(1), box(2), box(3)}));
        CHECK(told.router.state(1) == EndpointState::Gone);
        told.platform(listing({box(2)}, true));  // missing from a whole list
        told.platform(listing({box(1)}));        // listed again by the coordinator itself
        CHECK(told.router.state(1) == EndpointState::Ready);
    }
}

TEST_CASE(
    "with streamed membership a version in force decides who is a member, and its end returns the list") {
    Told told(operate::Membership::Streamed);
    told.platform(listing({box(1), box(2)}, true));
    CHECK(told.router.now.size() == 2);
    told.streamed(version({box(2, EndpointState::Ready, 99)}));
    CHECK(told.router.now.size() == 1);
    CHECK(told.router.now.at(2).port == 99);
    told.platform(listing({box(4)}));
    CHECK(told.router.now.size() == 1);
    told.platform(listing({box(2, EndpointState::Draining)}));
    CHECK(told.router.state(2) == EndpointState::Draining);
    told.streamed(nullptr);
    CHECK(told.router.now.size() == 3);
}

TEST_CASE("a box that a version adds or moves without a start counts as just started") {
    Told told;
    told.streamed(version({box(1)}), noon);
    CHECK(told.router.now.at(1).entry.started_at == 0);  // the first version says nothing of what is new
    told.streamed(version({box(1), box(2)}), noon + test_second);
    CHECK(told.router.now.at(2).entry.started_at == noon + test_second);
    told.streamed(version({box(1, EndpointState::Ready, 81), box(2)}), noon + 2 * test_second);
    CHECK(told.router.now.at(1).entry.started_at == noon + 2 * test_second);
    CHECK(told.router.now.at(1).port == 81);
    CHECK(told.router.now.at(2).entry.started_at == noon + test_second);
    CHECK(told.book.start_times_since(noon + 3 * test_second, 1500 * test_ms).size() == 1);
    // After a restart of the router they are as cold as they were.
    Told again;
    again.book.restore_start_times(told.book.start_times_since(noon + 3 * test_second, 10 * test_second));
    again.streamed(version({box(1, EndpointState::Ready, 81), box(2)}), noon + 4 * test_second);
    CHECK(again.router.now.at(2).entry.started_at == noon + test_second);
}

TEST_CASE("boxes of other locations are not told, parents and the origin are") {
    Told told;
    told.streamed(version({box(1), box(2, EndpointState::Ready, 80, 0, 2),
                           box(3, EndpointState::Ready, 80, 1, 0), box(4, EndpointState::Ready, 80, 2, 0)}));
    CHECK(told.router.now.size() == 3);
    CHECK(told.book.announced_count() == 3);
}

TEST_CASE("a version that would leave a location without a server says which") {
    Told told;
    auto elsewhere = box(5, EndpointState::Ready, 80, 0, 0);
    auto parent = box(11, EndpointState::Ready, 80, 1, 0), origin = box(20, EndpointState::Ready, 80, 2, 0);
    told.streamed(version({box(1), elsewhere, parent, origin}));
    auto why = [&](std::vector<feed::Endpoint> next, const std::vector<int>& emptied = {}) {
        return told.book.describe_unserved(Endpoints(std::move(next)), emptied).value_or("");
    };
    CHECK(why({box(2), elsewhere, parent, origin}) == "");
    CHECK(why({elsewhere, parent, origin}).find("zone 'east'") != std::string::npos);
    CHECK(why({box(1, EndpointState::Draining), elsewhere, parent, origin}).find("zone 'east'") !=
          std::string::npos);
    CHECK(why({elsewhere, parent, origin}, {1}) == "");
    CHECK(why({box(1), parent, origin}).find("zone 'central'") != std::string::npos);
    CHECK(why({box(1), elsewhere, origin}).find("the parents") != std::string::npos);
    CHECK(why({box(1), elsewhere, parent}, {0, 1}).find("the origin") != std::string::npos);
    told.platform(listing({box(7)}));  // the coordinator's box serves there
    CHECK(why({elsewhere, parent, origin}) == "");
}

TEST_CASE("what has gone is remembered within bounds, what a version names always") {
    Told told;
    told.streamed(version({box(1)}));
    told.platform(listing({box(1), box(2)}));
    told.platform(listing({box(1, EndpointState::Gone)}));
    for (int i = 0; i < 20'000; i++)
        told.platform(listing({box(100 + static_cast<CacheId>(i), EndpointState::Gone)}),
                      noon + i * test_second);
    CHECK(told.book.gone_count() <= 8192);
    told.streamed(version({box(1), box(3)}), noon + 30'000 * test_second);
    CHECK(told.router.state(1) == EndpointState::Gone);
}

// Any order of lists and versions: what the router believes is what the table in the header says, and nothing
// drained or gone by the coordinator's last word is ever ready.
TEST_CASE("orders drawn by chance agree with the rule worked out anew") {
    for (unsigned seed = 1; seed <= 200; seed++) {
        std::mt19937 chance(seed);
        auto draw = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
        auto membership = seed % 2 ? operate::Membership::Merged : operate::Membership::Streamed;
        Told told(membership);
        std::map<CacheId, EndpointState> list, stream;
        bool has_version = false;
        auto some = [&] {
            std::vector<feed::Endpoint> all;
            for (CacheId id = 1; id <= 6; id++)
                if (draw(2)) all.push_back(box(id, static_cast<EndpointState>(draw(3)), 80 + draw(2)));
            return all;
        };
        for (int step = 0; step < 40; step++) {
            auto all = some();
            if (draw(2)) {
                bool complete = draw(4) == 0;
                if (complete)
                    for (auto& [id, state] : list) state = EndpointState::Gone;
                for (auto& one : all) list[one.entry.id] = one.entry.state;
                told.platform(listing(all, complete), noon + step);
            } else {
                has_version = draw(5) > 0;
                stream.clear();
                if (has_version)
                    for (auto& one : all) stream[one.entry.id] = one.entry.state;
                told.streamed(has_version ? version(all) : nullptr, noon + step);
            }
            for (CacheId id = 1; id <= 6; id++) {
                bool listed = list.contains(id), named = stream.contains(id);
                auto has = [&](EndpointState state) {
                    return (listed && list[id] == state) || (named && stream[id] == state);
                };
                auto wanted = EndpointState::Gone;
                bool by_stream = has_version && membership == operate::Membership::Streamed;
                if (((listed && !by_stream) || named) && !has(EndpointState::Gone))
                    wanted = has(EndpointState::Draining) ? EndpointState::Draining : EndpointState::Ready;
                REQUIRE_MESSAGE(told.router.state(id) == wanted,
                                "seed " << seed << " step " << step << " id " << id);
            }
        }
    }
}
