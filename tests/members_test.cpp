// The merged endpoint list where both the coordinator and a version list a box.
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

// The list of the router after it has applied all changes.
struct RouterList {
    void apply(const feed::Listing& changes) {
        CHECK(!changes.complete);
        bool removals_begun = false;
        for (auto& one : changes.caches) {
            if (one.entry.state == EndpointState::Gone) {
                removals_begun = true;
                CHECK(now.erase(one.entry.id) == 1);
            } else {
                CHECK(!removals_begun);  // make before break
                now[one.entry.id] = one;
            }
        }
    }
    EndpointState state(CacheId id) const {
        return now.contains(id) ? now.at(id).entry.state : EndpointState::Gone;
    }
    std::map<CacheId, feed::Endpoint> now;
};

struct MergeFixture {
    explicit MergeFixture(operate::EndpointListMode endpoint_list_mode = operate::EndpointListMode::Merged)
        : endpoints(a_site(), terms().zones, endpoint_list_mode) {}
    void update_from_coordinator(const feed::Listing& update, Micros at = noon) {
        router.apply(endpoints.update_from_coordinator(update, at));
    }
    void update_from_stream(std::shared_ptr<const Endpoints> boxes, Micros at = noon) {
        router.apply(endpoints.update_from_stream(std::move(boxes), at));
    }
    MergedEndpoints endpoints;
    RouterList router;
};

}  // namespace

TEST_CASE("boxes of both are merged, with the coordinator's address where both list one") {
    MergeFixture fixture;
    fixture.update_from_coordinator(listing({box(1), box(2)}, true));
    fixture.update_from_stream(version({box(2, EndpointState::Ready, 99), box(3, EndpointState::Ready, 99)}));
    CHECK(fixture.router.now.size() == 3);
    CHECK(fixture.router.now.at(2).port == 80);
    CHECK(fixture.router.now.at(3).port == 99);
    fixture.update_from_stream(nullptr);
    CHECK(fixture.router.now.size() == 2);
}

TEST_CASE("a drain holds until the side that ordered it withdraws it") {
    MergeFixture fixture;
    fixture.update_from_coordinator(listing({box(1), box(2)}, true));
    fixture.update_from_stream(version({box(1, EndpointState::Draining), box(2)}));
    CHECK(fixture.router.state(1) == EndpointState::Draining);
    fixture.update_from_coordinator(listing({box(1), box(2, EndpointState::Draining)}));
    CHECK(fixture.router.state(1) == EndpointState::Draining);
    CHECK(fixture.router.state(2) == EndpointState::Draining);
    fixture.update_from_stream(version({box(1), box(2)}));
    CHECK(fixture.router.state(1) == EndpointState::Ready);
    CHECK(fixture.router.state(2) == EndpointState::Draining);
}

TEST_CASE("a version does not bring back a box that the coordinator reports as gone") {
    for (auto endpoint_list_mode : {operate::EndpointListMode::Merged, operate::EndpointListMode::Streamed}) {
        MergeFixture fixture(endpoint_list_mode);
        fixture.update_from_coordinator(listing({box(1), box(2)}, true));
        fixture.update_from_stream(version({box(1), box(2)}));
        fixture.update_from_coordinator(listing({box(1, EndpointState::Gone)}));
        CHECK(fixture.router.state(1) == EndpointState::Gone);
        fixture.update_from_stream(version({box(1), box(2), box(3)}));
        CHECK(fixture.router.state(1) == EndpointState::Gone);
        fixture.update_from_coordinator(listing({box(2)}, true));  // missing from a complete list
        fixture.update_from_coordinator(listing({box(1)}));        // listed again by the coordinator itself
        CHECK(fixture.router.state(1) == EndpointState::Ready);
    }
}

TEST_CASE(
    "with streamed membership only the active version's boxes are used, and without one the coordinator's "
    "list") {
    MergeFixture fixture(operate::EndpointListMode::Streamed);
    fixture.update_from_coordinator(listing({box(1), box(2)}, true));
    CHECK(fixture.router.now.size() == 2);
    fixture.update_from_stream(version({box(2, EndpointState::Ready, 99)}));
    CHECK(fixture.router.now.size() == 1);
    CHECK(fixture.router.now.at(2).port == 99);
    fixture.update_from_coordinator(listing({box(4)}));
    CHECK(fixture.router.now.size() == 1);
    fixture.update_from_coordinator(listing({box(2, EndpointState::Draining)}));
    CHECK(fixture.router.state(2) == EndpointState::Draining);
    fixture.update_from_stream(nullptr);
    CHECK(fixture.router.now.size() == 3);
}

TEST_CASE("a box that a version adds or moves without a start counts as just started") {
    MergeFixture fixture;
    fixture.update_from_stream(version({box(1)}), noon);
    CHECK(fixture.router.now.at(1).entry.started_at ==
          0);  // all boxes of the first version are taken for old
    fixture.update_from_stream(version({box(1), box(2)}), noon + test_second);
    CHECK(fixture.router.now.at(2).entry.started_at == noon + test_second);
    fixture.update_from_stream(version({box(1, EndpointState::Ready, 81), box(2)}), noon + 2 * test_second);
    CHECK(fixture.router.now.at(1).entry.started_at == noon + 2 * test_second);
    CHECK(fixture.router.now.at(1).port == 81);
    CHECK(fixture.router.now.at(2).entry.started_at == noon + test_second);
    CHECK(fixture.endpoints.start_times_since(noon + 3 * test_second, 1500 * test_ms).size() == 1);
    // A restart of the router keeps the start times.
    MergeFixture restarted;
    restarted.endpoints.restore_start_times(
        fixture.endpoints.start_times_since(noon + 3 * test_second, 10 * test_second));
    restarted.update_from_stream(version({box(1, EndpointState::Ready, 81), box(2)}), noon + 4 * test_second);
    CHECK(restarted.router.now.at(2).entry.started_at == noon + test_second);
}

TEST_CASE("boxes of other zones are not announced to the router, parents and the origin are") {
    MergeFixture fixture;
    fixture.update_from_stream(
        version({box(1), box(2, EndpointState::Ready, 80, 0, 2), box(3, EndpointState::Ready, 80, 1, 0),
                 box(4, EndpointState::Ready, 80, 2, 0)}));
    CHECK(fixture.router.now.size() == 3);
    CHECK(fixture.endpoints.announced_count() == 3);
}

TEST_CASE("a version that would leave a zone or role without a ready server is reported with its name") {
    MergeFixture fixture;
    auto elsewhere = box(5, EndpointState::Ready, 80, 0, 0);
    auto parent = box(11, EndpointState::Ready, 80, 1, 0), origin = box(20, EndpointState::Ready, 80, 2, 0);
    fixture.update_from_stream(version({box(1), elsewhere, parent, origin}));
    auto unserved = [&](std::vector<feed::Endpoint> next, const std::vector<int>& emptied = {}) {
        return fixture.endpoints.describe_unserved(Endpoints(std::move(next)), emptied).value_or("");
    };
    CHECK(unserved({box(2), elsewhere, parent, origin}) == "");
    CHECK(unserved({elsewhere, parent, origin}).find("zone 'east'") != std::string::npos);
    CHECK(unserved({box(1, EndpointState::Draining), elsewhere, parent, origin}).find("zone 'east'") !=
          std::string::npos);
    CHECK(unserved({elsewhere, parent, origin}, {1}) == "");
    CHECK(unserved({box(1), parent, origin}).find("zone 'central'") != std::string::npos);
    CHECK(unserved({box(1), elsewhere, origin}).find("the parents") != std::string::npos);
    CHECK(unserved({box(1), elsewhere, parent}, {0, 1}).find("the origin") != std::string::npos);
    fixture.update_from_coordinator(listing({box(7)}));  // a ready box of the coordinator in that zone
    CHECK(unserved({elsewhere, parent, origin}) == "");
}

TEST_CASE("ids that are gone are remembered within bounds, those that a version lists always") {
    MergeFixture fixture;
    fixture.update_from_stream(version({box(1)}));
    fixture.update_from_coordinator(listing({box(1), box(2)}));
    fixture.update_from_coordinator(listing({box(1, EndpointState::Gone)}));
    for (int i = 0; i < 20'000; i++)
        fixture.update_from_coordinator(listing({box(100 + static_cast<CacheId>(i), EndpointState::Gone)}),
                                        noon + i * test_second);
    CHECK(fixture.endpoints.gone_count() <= 8192);
    fixture.update_from_stream(version({box(1), box(3)}), noon + 30'000 * test_second);
    CHECK(fixture.router.state(1) == EndpointState::Gone);
}

// In any order of lists and versions, the router's list follows the table in the header, and a box that is
// draining or gone according to the coordinator's last update is never ready.
TEST_CASE("random updates give the list that the merge rule gives when computed from scratch") {
    for (unsigned seed = 1; seed <= 200; seed++) {
        std::mt19937 generator(seed);
        auto draw = [&](int n) { return static_cast<int>(generator() % static_cast<unsigned>(n)); };
        auto endpoint_list_mode =
            seed % 2 ? operate::EndpointListMode::Merged : operate::EndpointListMode::Streamed;
        MergeFixture fixture(endpoint_list_mode);
        std::map<CacheId, EndpointState> list, stream;
        bool has_version = false;
        auto random_boxes = [&] {
            std::vector<feed::Endpoint> all;
            for (CacheId id = 1; id <= 6; id++)
                if (draw(2)) all.push_back(box(id, static_cast<EndpointState>(draw(3)), 80 + draw(2)));
            return all;
        };
        for (int step = 0; step < 40; step++) {
            auto all = random_boxes();
            if (draw(2)) {
                bool complete = draw(4) == 0;
                if (complete)
                    for (auto& [id, state] : list) state = EndpointState::Gone;
                for (auto& one : all) list[one.entry.id] = one.entry.state;
                fixture.update_from_coordinator(listing(all, complete), noon + step);
            } else {
                has_version = draw(5) > 0;
                stream.clear();
                if (has_version)
                    for (auto& one : all) stream[one.entry.id] = one.entry.state;
                fixture.update_from_stream(has_version ? version(all) : nullptr, noon + step);
            }
            for (CacheId id = 1; id <= 6; id++) {
                bool listed = list.contains(id), named = stream.contains(id);
                auto has = [&](EndpointState state) {
                    return (listed && list[id] == state) || (named && stream[id] == state);
                };
                auto expected = EndpointState::Gone;
                bool by_stream = has_version && endpoint_list_mode == operate::EndpointListMode::Streamed;
                if (((listed && !by_stream) || named) && !has(EndpointState::Gone))
                    expected = has(EndpointState::Draining) ? EndpointState::Draining : EndpointState::Ready;
                REQUIRE_MESSAGE(fixture.router.state(id) == expected,
                                "seed " << seed << " step " << step << " id " << id);
            }
        }
    }
}
