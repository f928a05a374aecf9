// The snapshot store: it yields a complete version or none, whatever happens to its file.
#include "vault/vault.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <lmdb.h>
#include <sys/resource.h>
#include <sys/time.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>

#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::vault;

namespace {

struct TemporaryDirectory {
    std::string path;
    TemporaryDirectory() {
        std::string name = "/tmp/quillgrade_vault_XXXXXX";
        path = mkdtemp(name.data());
    }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
    ~TemporaryDirectory() { std::filesystem::remove_all(path); }
    operate::StoreConfig config(std::size_t bytes = 8U << 20) const {
        return {path + "/store", bytes, false};
    }
};

version::VersionSet version_of(std::uint64_t number, std::size_t size = 100) {
    auto checked = std::make_shared<version::ValidatedBundle>();
    auto& bundle = checked->bundle;
    bundle.kind = version::Kind::Boxes;
    bundle.identity = "ctl-a";
    bundle.number = number;
    bundle.version_text = std::to_string(number);
    auto item = std::make_shared<version::Item>();
    // Every part of the contents contains the version number.
    while (item->bytes.size() < size) item->bytes += bundle.version_text + ";";
    bundle.items["all"] = item;
    bundle.digest = version::digest_of(bundle.items);
    version::VersionSet set;
    set[0] = checked;
    return set;
}

// The number of the version, whose contents are checked to be complete; 0: none.
std::uint64_t number_of(const std::vector<version::Bundle>& bundles) {
    if (bundles.empty()) return 0;
    auto& bundle = bundles.at(0);
    auto& text = bundle.items.at("all")->bytes;
    std::string expected;
    while (expected.size() < text.size()) expected += bundle.version_text + ";";
    CHECK(text == expected);
    CHECK(std::to_string(bundle.number) == bundle.version_text);
    return bundle.number;
}

std::string file_of(const operate::StoreConfig& config) { return config.path + "/data.mdb"; }

void corrupt(const std::string& file, std::mt19937& generator, int bytes) {
    std::fstream out(file, std::ios::in | std::ios::out | std::ios::binary);
    auto size = std::filesystem::file_size(file);
    for (int i = 0; i < bytes; i++) {
        out.seekp(static_cast<std::streamoff>(generator() % size));
        out.put(static_cast<char>(generator()));
    }
}

}  // namespace

TEST_CASE("the versions written last are read again, current and settled") {
    TemporaryDirectory directory;
    {
        auto opened = SnapshotStore::open(directory.config());
        REQUIRE(opened.store);
        CHECK(!opened.snapshot);
        CHECK(opened.problem == "");
        CHECK(!opened.store->write(version_of(1), version_of(1), {}, noon));
        CHECK(!opened.store->write(version_of(2), version_of(1), {{7, noon}}, noon + 5));
    }
    auto opened = SnapshotStore::open(directory.config());
    REQUIRE(opened.snapshot);
    CHECK(number_of(opened.snapshot->current) == 2);
    CHECK(number_of(opened.snapshot->settled) == 1);
    CHECK(opened.snapshot->saved_at == noon + 5);
    CHECK(opened.snapshot->start_times == members::StartTimes{{7, noon}});
}

// Guards against a signal at the start (SIGHUP, SIGTERM) that interrupts the reading and makes an intact
// store look damaged: the router would quarantine it and start without a version. The signal has a handler,
// as in the program before its event loop takes signals.
TEST_CASE("a store that is read while signals arrive yields its version") {
    static volatile std::sig_atomic_t signals = 0;
    constexpr itimerval every_2_ms{{0, 2000}, {0, 2000}}, never{};
    TemporaryDirectory directory;
    auto config = directory.config(64U << 20);
    {
        auto opened = SnapshotStore::open(config);
        REQUIRE(opened.store);
        REQUIRE(!opened.store->write(version_of(1, 4U << 20), version_of(1, 4U << 20), {}, noon));
    }
    signals = 0;
    auto before = std::signal(SIGALRM, [](int) { signals = signals + 1; });
    for (int attempt = 0; attempt < 20; attempt++) {
        setitimer(ITIMER_REAL, &every_2_ms, nullptr);
        auto opened = SnapshotStore::open(config);
        setitimer(ITIMER_REAL, &never, nullptr);
        INFO("attempt ", attempt);
        CHECK(opened.problem == "");
        REQUIRE(opened.snapshot);
        CHECK(number_of(opened.snapshot->current) == 1);
    }
    std::signal(SIGALRM, before);
    CHECK(signals > 0);
}

TEST_CASE(
    "after kill -9 during a write, the store holds a complete version, none older than the last "
    "acknowledged") {
    TemporaryDirectory directory;
    std::uint64_t last_stored = 0;
    for (int attempt = 0; attempt < 60; attempt++) {
        std::array<int, 2> pipe_ends;
        REQUIRE(pipe(pipe_ends.data()) == 0);
        auto child = fork();
        if (child == 0) {
            auto opened = SnapshotStore::open(directory.config());
            for (std::uint64_t number = last_stored + 1; opened.store; number++) {
                if (opened.store->write(version_of(number, 100'000), version_of(number / 8 * 8, 50'000), {},
                                        noon))
                    break;
                if (::write(pipe_ends[1], &number, sizeof number) != sizeof number)
                    break;  // stands for the ACK
            }
            _exit(1);
        }
        close(pipe_ends[1]);
        std::uint64_t acknowledged = last_stored, number;
        for (int i = 0; i < 1 + attempt % 5 && ::read(pipe_ends[0], &number, sizeof number) == sizeof number;
             i++)
            acknowledged = number;
        usleep(static_cast<useconds_t>(attempt * 37 % 900));
        kill(child, SIGKILL);
        waitpid(child, nullptr, 0);
        while (::read(pipe_ends[0], &number, sizeof number) == sizeof number) acknowledged = number;
        close(pipe_ends[0]);
        auto opened = SnapshotStore::open(directory.config());
        REQUIRE_MESSAGE(opened.problem == "", opened.problem);
        REQUIRE(opened.snapshot);
        auto found = number_of(opened.snapshot->current);
        CHECK(found >= acknowledged);
        CHECK(found <= acknowledged + 1);
        last_stored = found;
    }
    CHECK(last_stored > 60);
}

TEST_CASE("a record that is truncated or corrupted at any byte is not accepted") {
    auto set = version_of(3, 200);
    auto record = encode({&set[0]->bundle}, noon, {});
    Micros at = 0;
    members::StartTimes starts;
    CHECK(number_of(decode(record, at, starts)) == 3);
    for (std::size_t cut = 0; cut < record.size(); cut++)
        CHECK_THROWS_AS(decode(std::string_view(record).substr(0, cut), at, starts), bytes::Malformed);
    for (std::size_t i = 0; i < record.size(); i++) {
        auto corrupted = record;
        corrupted[i] = static_cast<char>(corrupted[i] ^ 0x10);
        CHECK_THROWS_AS(decode(corrupted, at, starts), bytes::Malformed);
    }
}

// Guards against a damaged file that crashes the router at its start.
TEST_CASE("a damaged store is quarantined or read completely, and a new one can be written") {
    std::mt19937 generator(11);
    int quarantined = 0;
    for (int attempt = 0; attempt < 60; attempt++) {
        TemporaryDirectory directory;
        auto config = directory.config();
        {
            auto opened = SnapshotStore::open(config);
            for (std::uint64_t number = 1; number < 6; number++)
                REQUIRE(!opened.store->write(version_of(number, 9000), version_of(number, 9000), {}, noon));
        }
        if (attempt % 3 == 0)
            std::filesystem::resize_file(file_of(config),
                                         generator() % std::filesystem::file_size(file_of(config)));
        else
            corrupt(file_of(config), generator, 1 << generator() % 10);
        auto opened = SnapshotStore::open(config);
        if (opened.snapshot) {
            CHECK(number_of(opened.snapshot->current) >= 4);  // LMDB may use the state before the last
        } else if (!opened.problem.empty()) {
            quarantined++;
            CHECK(opened.problem.find("set aside as") != std::string::npos);
            REQUIRE(opened.store);
            REQUIRE(!opened.store->write(version_of(9), version_of(9), {}, noon));
            opened.store.reset();
            CHECK(number_of(SnapshotStore::open(config).snapshot.value().current) == 9);
        }
    }
    CHECK(quarantined > 10);
}

TEST_CASE("a store of a newer format is left unchanged and not used") {
    TemporaryDirectory directory;
    auto config = directory.config();
    {
        auto opened = SnapshotStore::open(config);
        REQUIRE(!opened.store->write(version_of(1), version_of(1), {}, noon));
    }
    {
        MDB_env* env;
        MDB_txn* txn;
        MDB_dbi table;
        REQUIRE(mdb_env_create(&env) == 0);
        REQUIRE(mdb_env_open(env, config.path.c_str(), 0, 0600) == 0);
        REQUIRE(mdb_txn_begin(env, nullptr, 0, &txn) == 0);
        REQUIRE(mdb_dbi_open(txn, nullptr, 0, &table) == 0);
        std::string record;
        bytes::put_number(record, 4, 0x71674b56);
        bytes::put_number(record, 4, 2);
        record += "whatever comes then";
        MDB_val key{7, const_cast<char*>("current")}, value{record.size(), record.data()};
        REQUIRE(mdb_put(txn, table, &key, &value, 0) == 0);
        REQUIRE(mdb_txn_commit(txn) == 0);
        mdb_env_close(env);
    }
    auto size = std::filesystem::file_size(file_of(config));
    auto opened = SnapshotStore::open(config);
    CHECK(!opened.store);
    CHECK(!opened.snapshot);
    CHECK(opened.problem.find("its format is 2") != std::string::npos);
    CHECK(std::filesystem::file_size(file_of(config)) == size);
}

TEST_CASE("without a writable directory there is no store, and the reason is returned") {
    for (std::string path : {"/proc/quillgrade", "/dev/null/store", "/proc/self/status/x"}) {
        auto opened = SnapshotStore::open({path, 8U << 20, true});
        CHECK(!opened.store);
        CHECK(!opened.snapshot);
        CHECK(opened.problem.find("can't be written") != std::string::npos);
    }
}

TEST_CASE("a write that exceeds the size of the store fails, changes nothing, and the store can be cleared") {
    TemporaryDirectory directory;
    auto config = directory.config(1 << 20);
    auto opened = SnapshotStore::open(config);
    REQUIRE(!opened.store->write(version_of(1), version_of(1), {}, noon));
    auto failed = opened.store->write(version_of(2, 3'000'000), version_of(1), {}, noon);
    REQUIRE(failed);
    CHECK(failed->find("MAP_FULL") != std::string::npos);
    opened.store.reset();
    opened = SnapshotStore::open(config);
    CHECK(number_of(opened.snapshot.value().current) == 1);
    CHECK(opened.store->clear());
    CHECK(!opened.store->write(version_of(3), version_of(3), {}, noon));
    opened.store.reset();
    CHECK(number_of(SnapshotStore::open(config).snapshot.value().current) == 3);
}

TEST_CASE("a write to a full disk fails and leaves the stored version") {
    TemporaryDirectory directory;
    auto config = directory.config();
    {
        auto opened = SnapshotStore::open(config);
        REQUIRE(!opened.store->write(version_of(1), version_of(1), {}, noon));
    }
    auto child = fork();
    if (child == 0) {  // in a child process, as the limit would apply to the other tests too
        signal(SIGXFSZ, SIG_IGN);
        rlimit limit{100'000, 100'000};
        setrlimit(RLIMIT_FSIZE, &limit);
        auto opened = SnapshotStore::open(config);
        bool refused = opened.store && opened.store->write(version_of(2, 500'000), version_of(1), {}, noon);
        _exit(refused ? 0 : 1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    CHECK(WEXITSTATUS(status) == 0);
    CHECK(number_of(SnapshotStore::open(config).snapshot.value().current) == 1);
}
