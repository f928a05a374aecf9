// The connection to the coordinator.
#include "quiet.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

TEST_CASE("the coordinator is asked again from the last event after a frame that can't be read") {
    Quiet quiet;
    Listener stand_in;
    Coordinator coordinator(quiet.base.get(), {0x7f000001, static_cast<std::uint16_t>(stand_in.port)},
                            quiet.launch.terms, 4, quiet.clock, quiet.gathered);
    std::string purge("\0\0\0\x13\0\0\0\0\0\0\0\5\4\0\x11\0\0\0\0\0\0\0\1", 23);
    for (auto last : {4, 5}) {
        quiet.pump([&] { return Quiet::readable(stand_in); });
        auto link = accept(stand_in);
        quiet.pump([&] { return Quiet::readable(link); });
        CHECK(read(link, [](auto& got) { return got.size() >= 8; }) ==
              std::string("\0\0\0\0\0\0\0", 7) + static_cast<char>(last));
        REQUIRE(link.send(purge + purge + std::string("\0\0\0\1x", 5)));
        quiet.pump([&] { return Quiet::readable(link); });  // it is closed
    }
    CHECK(quiet.gathered_of<feed::Event>().size() == 1);  // the second was known
}
