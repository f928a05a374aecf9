#include "rig/sampler/process_history.hpp"

#include <algorithm>

namespace quillgrade::rig::sampler {

void ProcessHistory::add(const ProcessSample& sample) {
    if (added == 0) {
        oldest = sample;
        ready_since = idle_since = sample.at;
    } else {
        run_queue_growth = std::max(run_queue_growth, sample.times.run_queue - newest.times.run_queue);
        bool ran = sample.times.processor > newest.times.processor;
        if (ran) idle_since = sample.at;
        if (ran || sample.state != 'R' || newest.state != 'R') ready_since = sample.at;
        without_running = std::max<Nanoseconds>(without_running, sample.at - idle_since);
        ready_without_core = std::max<Nanoseconds>(ready_without_core, sample.at - ready_since);
    }
    newest = sample;
    if (ring.size() < capacity)
        ring.push_back(sample);
    else
        ring[added % capacity] = sample;
    added++;
}

std::vector<ProcessSample> ProcessHistory::kept() const {
    std::vector<ProcessSample> samples = ring;
    if (added > ring.size())
        std::rotate(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(added % ring.size()),
                    samples.end());
    return samples;
}

}  // namespace quillgrade::rig::sampler
