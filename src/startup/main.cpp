// quillgrade_progress FOLDER: one line for each start that has left its progress there
// (startup/progress.hpp).
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "startup/progress.hpp"

namespace {

using quillgrade::startup::Call;
using quillgrade::startup::Record;
using quillgrade::startup::Stage;

void print(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    std::array<char, sizeof(Record)> bytes{};
    file.read(bytes.data(), bytes.size());
    Record record;
    if (file.gcount() == static_cast<std::streamsize>(bytes.size()))
        std::memcpy(static_cast<void*>(&record), bytes.data(), bytes.size());
    if (record.written_format != Record::format || record.process == 0) {
        fmt::print("{}: no record of a start\n", path.string());
        return;
    }
    fmt::print("process {}: {}, call {}, {} calls, {} polls since a wait, {} us of processor time\n",
               record.process, name_of(Stage{record.stage.load()}), name_of(Call{record.call.load()}),
               record.calls.load(), record.polls_since_wait.load(), record.processor_us.load());
}

}  // namespace

int main(int count, char** words) {
    if (count != 2) {
        fmt::print(stderr, "usage: quillgrade_progress FOLDER\n");
        return 1;
    }
    std::error_code error;
    std::vector<std::filesystem::path> all;
    for (auto& entry : std::filesystem::directory_iterator(words[1], error))
        if (entry.path().filename().string().rfind("start-", 0) == 0) all.push_back(entry.path());
    if (error) {
        fmt::print(stderr, "{}: {}\n", words[1], error.message());
        return 1;
    }
    std::sort(all.begin(), all.end());
    for (auto& path : all) print(path);
    return 0;
}
