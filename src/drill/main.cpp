// Reads batches on standard input and writes one reply to each on standard output.
#include <iostream>

#include "drill/drill.hpp"
#include "drill/frame.hpp"

int main() {
    using namespace quillgrade::drill;
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    Drill drill;
    std::string length(4, '\0'), batch;
    try {
        while (std::cin.read(length.data(), 4)) {
            auto bytes = read_number(length, 0, 4);
            if (bytes > longest_frame) throw BadInput("a frame is longer than any batch can be");
            batch.clear();
            while (batch.size() < bytes) {  // grown as it comes, so that a wrong length costs no memory
                auto had = batch.size();
                batch.resize(std::min<std::size_t>(bytes, had + (1U << 20)));
                auto wanted = static_cast<std::streamsize>(batch.size() - had);
                if (!std::cin.read(batch.data() + had, wanted)) throw BadInput("a frame is cut short");
            }
            auto reply = drill.answer(batch);
            std::cout.write(reply.data(), static_cast<std::streamsize>(reply.size())).flush();
        }
        if (std::cin.gcount() != 0) throw BadInput("a frame is cut short");
    } catch (const BadInput& error) {
        std::cerr << "quillgrade_drill: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
