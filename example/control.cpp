// A control service to try streamed configuration by hand, at 127.0.0.1:18000. Commands on standard input:
//   publish FILE    the version that a JSON file holds, such as example/boxes-1.json
//   quit
// Prints what each router acknowledges or turns down, and why.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>

#include "rig/publish.hpp"

using namespace quillgrade::rig;

int main() {
    try {
        // A new identity at each start: its numbers begin anew.
        auto start = std::chrono::system_clock::now().time_since_epoch().count() / 1'000'000'000;
        ControlService control("toy-" + std::to_string(start), 18000);
        std::atomic<bool> over{false};
        std::thread listener([&] {
            for (std::size_t told = 0; !over;) {
                control.wait([&](auto& heard) { return heard.size() > told; }, 0.2);
                for (auto heard = control.heard(); told < heard.size(); told++) {
                    auto& said = heard[told];
                    auto kind = said.type_url.substr(said.type_url.rfind('.') + 1);
                    if (said.nonce.empty())
                        std::cout << said.asker << " subscribes to " << kind
                                  << (said.version.empty() ? "" : ", runs " + said.version) << std::endl;
                    else if (said.turned_down)
                        std::cout << "turned down (" << kind << " " << said.version
                                  << " stays): " << said.reason << std::endl;
                    else
                        std::cout << "acknowledged: " << kind << " " << said.version << " runs" << std::endl;
                }
            }
        });
        std::cout << "control service at 127.0.0.1:18000; publish FILE, or quit" << std::endl;
        for (std::string line; std::getline(std::cin, line) && line != "quit";) try {
                if (!line.starts_with("publish ")) throw std::runtime_error("publish FILE, or quit");
                std::ifstream file(line.substr(8));
                if (!file) throw std::runtime_error(line.substr(8) + " can't be read");
                auto made = read_publication({std::istreambuf_iterator<char>(file), {}});
                control.publish(made.type_url, made.number, made.resources);
            } catch (const std::exception& error) {
                std::cout << error.what() << std::endl;
            }
        over = true;
        listener.join();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "quillgrade_control: " << error.what() << "\n";
        return 1;
    }
}
