#include "drill/drill.hpp"

#include <doctest/doctest.h>

#include "drill/frame.hpp"

using namespace quillgrade::drill;

static std::string batch(int count, const std::string& records) {
    std::string head(batch_head, '\0');
    write_number(head, 0, 4, count);
    write_number(head, 4, 8, 5000);
    return head + records;
}

static std::string record(int code, std::size_t at = 1, int width = 1, std::uint64_t value = 0) {
    std::string bytes(event_bytes, '\0');
    write_number(bytes, 0, 1, code);
    write_number(bytes, at, width, value);
    return bytes;
}

TEST_CASE("an empty batch has an empty reply") {
    CHECK(Drill().answer(batch(0, "")) == std::string(8, '\0'));
}

TEST_CASE("bad frames are told, not guessed at") {
    Drill drill;
    CHECK_THROWS_AS(drill.answer("short"), BadInput);
    CHECK_THROWS_AS(drill.answer(batch(2, record(7))), BadInput);              // fewer records than stated
    CHECK_THROWS_AS(drill.answer(batch(1, record(8))), BadInput);              // before any AT
    CHECK_THROWS_AS(drill.answer(batch(2, record(7) + record(8))), BadInput);  // unknown instance
    CHECK_THROWS_AS(drill.answer(batch(2, record(7) + record(10, 13, 4, 9))), BadInput);  // outside the tail
    for (std::string settings : {"{\"balancers\": 3", "{}"}) {
        auto attach = record(10, 13, 4, settings.size());
        auto bytes = batch(2, record(7) + attach);
        bytes.append(settings);
        CHECK_THROWS_AS(drill.answer(bytes), BadInput);
    }
    CHECK_THROWS_AS(read_amount(std::string("\x7f\xc0\0\0", 4), 0), BadInput);  // no number
    CHECK_THROWS_AS(read_time(std::string(8, '\xff'), 0), BadInput);
}
