// The store: whole or not at all, whatever happens to its file.
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

struct Folder {
    std::string path;
    Folder() {
        std::string name = "/tmp/quillgrade_vault_XXXXXX";
        path = mkdtemp(name.data());
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    ~Folder() { std::filesystem::remove_all(path); }
    operate::StoreConfig store(std::size_t bytes = 8U << 20) const { return {path + "/store", bytes, false}; }
};

version::VersionSet version_of(std::uint64_t number, std::size_t size = 100) {
    auto checked = std::make_shared<version::ValidatedBundle>();
    auto& bundle = checked->bundle;
    bundle.kind = version::Kind::Boxes;
    bundle.identity = "ctl-a";
    bundle.number = number;
    bundle.version_text = std::to_string(number);
    auto item = std::make_shared<version::Item>();
    // Every part tells which version it belongs to.
    while (item->bytes.size() < size) item->bytes += bundle.version_text + ";";
    bundle.items["all"] = item;
    bundle.digest = version::digest_of(bundle.items);
    version::VersionSet set;
    set[0] = checked;
    return set;
}

// The number of a whole and good version; 0: none.
std::uint64_t number_of(const std::vector<version::Bundle>& bundles) {
    if (bundles.empty()) return 0;
    auto& bundle = bundles.at(0);
    auto& text = bundle.items.at("all")->bytes;
    std::string wanted;
    while (wanted.size() < text.size()) wanted += bundle.version_text + ";";
    CHECK(text == wanted);
    CHECK(std::to_string(bundle.number) == bundle.version_text);
    return bundle.number;
}

std::string file_of(const operate::StoreConfig& store) { return store.path + "/data.mdb"; }

void spoil(const std::string& file, std::mt19937& chance, int bytes) {
    std::fstream out(file, std::ios::in | std::ios::out | std::ios::binary);
    auto size = std::filesystem::file_size(file);
    for (int i = 0; i < bytes; i++) {
        out.seekp(static_cast<std::streamoff>(chance() % size));
        out.put(static_cast<char>(chance()));
    }
}

}  // namespace

TEST_CASE("what is written is found again, with what had settled before it") {
    Folder folder;
    {
        auto opened = SnapshotStore::open(folder.store());
        REQUIRE(opened.store);
        CHECK(!opened.snapshot);
        CHECK(opened.problem == "");
        CHECK(!opened.store->write(version_of(1), version_of(1), {}, noon));
        CHECK(!opened.store->write(version_of(2), version_of(1), {{7, noon}}, noon + 5));
    }
    auto opened = SnapshotStore::open(folder.store());
    REQUIRE(opened.snapshot);
    CHECK(number_of(opened.snapshot->current) == 2);
    CHECK(number_of(opened.snapshot->settled) == 1);
    CHECK(opened.snapshot->saved_at == noon + 5);
    CHECK(opened.snapshot->start_times == members::StartTimes{{7, noon}});
}

// Guards against a signal in a start (SIGHUP, SIGTERM) that makes a whole version look torn: the router would
// set it aside and start without one. Handled as the program does until its event loop hears signals.
TEST_CASE("signals while the store is read lose no version") {
    static volatile std::sig_atomic_t heard = 0;
    constexpr itimerval every_2_ms{{0, 2000}, {0, 2000}}, never{};
    Folder folder;
    auto store = folder.store(64U << 20);
    {
        auto opened = SnapshotStore::open(store);
        REQUIRE(opened.store);
        REQUIRE(!opened.store->write(version_of(1, 4U << 20), version_of(1, 4U << 20), {}, noon));
    }
    heard = 0;
    auto before = std::signal(SIGALRM, [](int) { heard = heard + 1; });
    for (int round = 0; round < 20; round++) {
        setitimer(ITIMER_REAL, &every_2_ms, nullptr);
        auto opened = SnapshotStore::open(store);
        setitimer(ITIMER_REAL, &never, nullptr);
        INFO("round ", round);
        CHECK(opened.problem == "");
        REQUIRE(opened.snapshot);
        CHECK(number_of(opened.snapshot->current) == 1);
    }
    std::signal(SIGALRM, before);
    CHECK(heard > 0);
}

TEST_CASE("kill -9 during writes: what is found is whole, and never older than the last one acknowledged") {
    Folder folder;
    std::uint64_t least = 0;
    for (int round = 0; round < 60; round++) {
        std::array<int, 2> ends;
        REQUIRE(pipe(ends.data()) == 0);
        auto child = fork();
        if (child == 0) {
            auto opened = SnapshotStore::open(folder.store());
            for (std::uint64_t number = least + 1; opened.store; number++) {
                if (opened.store->write(version_of(number, 100'000), version_of(number / 8 * 8, 50'000), {},
                                        noon))
                    break;
                if (::write(ends[1], &number, sizeof number) != sizeof number) break;  // the acknowledgement
            }
            _exit(1);
        }
        close(ends[1]);
        std::uint64_t acknowledged = least, number;
        for (int i = 0; i < 1 + round % 5 && ::read(ends[0], &number, sizeof number) == sizeof number; i++)
            acknowledged = number;
        usleep(static_cast<useconds_t>(round * 37 % 900));
        kill(child, SIGKILL);
        waitpid(child, nullptr, 0);
        while (::read(ends[0], &number, sizeof number) == sizeof number) acknowledged = number;
        close(ends[0]);
        auto opened = SnapshotStore::open(folder.store());
        REQUIRE_MESSAGE(opened.problem == "", opened.problem);
        REQUIRE(opened.snapshot);
        auto found = number_of(opened.snapshot->current);
        CHECK(found >= acknowledged);
        CHECK(found <= acknowledged + 1);
        least = found;
    }
    CHECK(least > 60);
}

TEST_CASE("a record that is cut or spoilt at any byte is not taken") {
    auto set = version_of(3, 200);
    auto record = encode({&set[0]->bundle}, noon, {});
    Micros at = 0;
    members::StartTimes starts;
    CHECK(number_of(decode(record, at, starts)) == 3);
    for (std::size_t cut = 0; cut < record.size(); cut++)
        CHECK_THROWS_AS(decode(std::string_view(record).substr(0, cut), at, starts), bytes::Malformed);
    for (std::size_t i = 0; i < record.size(); i++) {
        auto spoilt = record;
        spoilt[i] = static_cast<char>(spoilt[i] ^ 0x10);
        CHECK_THROWS_AS(decode(spoilt, at, starts), bytes::Malformed);
    }
}

// Guards against a damaged file that brings down the router at its start.
TEST_CASE("a torn store is set aside or read whole, and a new one is written") {
    std::mt19937 chance(11);
    int aside = 0;
    for (int round = 0; round < 60; round++) {
        Folder folder;
        auto store = folder.store();
        {
            auto opened = SnapshotStore::open(store);
            for (std::uint64_t number = 1; number < 6; number++)
                REQUIRE(!opened.store->write(version_of(number, 9000), version_of(number, 9000), {}, noon));
        }
        if (round % 3 == 0)
            std::filesystem::resize_file(file_of(store),
                                         chance() % std::filesystem::file_size(file_of(store)));
        else
            spoil(file_of(store), chance, 1 << chance() % 10);
        auto opened = SnapshotStore::open(store);
        if (opened.snapshot) {
            CHECK(number_of(opened.snapshot->current) >= 4);  // a damaged last state shows the one before
        } else if (!opened.problem.empty()) {
            aside++;
            CHECK(opened.problem.find("set aside as") != std::string::npos);
            REQUIRE(opened.store);
            REQUIRE(!opened.store->write(version_of(9), version_of(9), {}, noon));
            opened.store.reset();
            CHECK(number_of(SnapshotStore::open(store).snapshot.value().current) == 9);
        }
    }
    CHECK(aside > 10);
}

TEST_CASE("a store of a newer format is left alone") {
    Folder folder;
    auto store = folder.store();
    {
        auto opened = SnapshotStore::open(store);
        REQUIRE(!opened.store->write(version_of(1), version_of(1), {}, noon));
    }
    {
        MDB_env* env;
        MDB_txn* txn;
        MDB_dbi table;
        REQUIRE(mdb_env_create(&env) == 0);
        REQUIRE(mdb_env_open(env, store.path.c_str(), 0, 0600) == 0);
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
    auto size = std::filesystem::file_size(file_of(store));
    auto opened = SnapshotStore::open(store);
    CHECK(!opened.store);
    CHECK(!opened.snapshot);
    CHECK(opened.problem.find("its format is 2") != std::string::npos);
    CHECK(std::filesystem::file_size(file_of(store)) == size);
}

TEST_CASE("no place to write: no store, and the reason") {
    for (std::string path : {"/proc/quillgrade", "/dev/null/store", "/proc/self/status/x"}) {
        auto opened = SnapshotStore::open({path, 8U << 20, true});
        CHECK(!opened.store);
        CHECK(!opened.snapshot);
        CHECK(opened.problem.find("can't be written") != std::string::npos);
    }
}

TEST_CASE("a full store changes nothing, says so, and can be emptied") {
    Folder folder;
    auto store = folder.store(1 << 20);
    auto opened = SnapshotStore::open(store);
    REQUIRE(!opened.store->write(version_of(1), version_of(1), {}, noon));
    auto failed = opened.store->write(version_of(2, 3'000'000), version_of(1), {}, noon);
    REQUIRE(failed);
    CHECK(failed->find("MAP_FULL") != std::string::npos);
    opened.store.reset();
    opened = SnapshotStore::open(store);
    CHECK(number_of(opened.snapshot.value().current) == 1);
    CHECK(opened.store->clear());
    CHECK(!opened.store->write(version_of(3), version_of(3), {}, noon));
    opened.store.reset();
    CHECK(number_of(SnapshotStore::open(store).snapshot.value().current) == 3);
}

TEST_CASE("a disk that is full fails the write, and leaves what was there") {
    Folder folder;
    auto store = folder.store();
    {
        auto opened = SnapshotStore::open(store);
        REQUIRE(!opened.store->write(version_of(1), version_of(1), {}, noon));
    }
    auto child = fork();
    if (child == 0) {  // the limit would hold for the other tests too
        signal(SIGXFSZ, SIG_IGN);
        rlimit limit{100'000, 100'000};
        setrlimit(RLIMIT_FSIZE, &limit);
        auto opened = SnapshotStore::open(store);
        bool refused = opened.store && opened.store->write(version_of(2, 500'000), version_of(1), {}, noon);
        _exit(refused ? 0 : 1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    CHECK(WEXITSTATUS(status) == 0);
    CHECK(number_of(SnapshotStore::open(store).snapshot.value().current) == 1);
}
