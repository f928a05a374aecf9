#include "vault/vault.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <utility>

#include "kept.pb.h"

namespace quillgrade::vault {

namespace {

namespace wire = quillgrade::vault::v1;

constexpr std::uint32_t magic = 0x71674b56, format = 1;
constexpr std::size_t head = 4 + 4 + 8 + 8;  // magic, format, length, checksum
constexpr std::size_t longest_record = 256U << 20;
constexpr std::chrono::seconds reading_takes{10};  // at most, of one piece
constexpr const char *current_key = "current", *settled_key = "settled";

struct Closed {
    void operator()(MDB_env* env) const { mdb_env_close(env); }
};
using Env = std::unique_ptr<MDB_env, Closed>;

struct Failed {
    std::string why;
};

void must(int code, const char* doing) {
    if (code) throw Failed{std::string(doing) + ": " + mdb_strerror(code)};
}

// Ends as it began unless it was committed.
class Transaction {
public:
    Transaction(MDB_env* env, unsigned flags) {
        must(mdb_txn_begin(env, nullptr, flags, &txn), "begin");
        if (int code = mdb_dbi_open(txn, nullptr, 0, &table)) {
            mdb_txn_abort(txn);
            throw Failed{std::string("open: ") + mdb_strerror(code)};
        }
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    ~Transaction() {
        if (txn) mdb_txn_abort(txn);
    }
    std::optional<std::string> get(const char* key) {
        MDB_val name = value(key), found{};
        int code = mdb_get(txn, table, &name, &found);
        if (code == MDB_NOTFOUND) return {};
        must(code, "read");
        if (found.mv_size > longest_record) throw Failed{"a record beyond measure"};
        return std::string(static_cast<const char*>(found.mv_data), found.mv_size);
    }
    void put(const char* key, const std::string& bytes) {
        MDB_val name = value(key), data{bytes.size(), const_cast<char*>(bytes.data())};
        must(mdb_put(txn, table, &name, &data, 0), "write");
    }
    void commit() { must(mdb_txn_commit(std::exchange(txn, nullptr)), "commit"); }

private:
    static MDB_val value(const char* key) { return {std::strlen(key), const_cast<char*>(key)}; }
    MDB_txn* txn = nullptr;
    MDB_dbi table = 0;
};

Env open_env(const operate::StoreConfig& store, unsigned flags) {
    MDB_env* made = nullptr;
    must(mdb_env_create(&made), "create");
    Env env(made);
    must(mdb_env_set_mapsize(env.get(), store.max_bytes), "size");
    must(mdb_env_open(env.get(), store.path.c_str(), flags | MDB_NOTLS, 0600), "open");
    return env;
}

// Guards against a signal that is taken for the end of what a process tells, or for a pipe that is broken.
bool interrupted(ssize_t result) { return result < 0 && errno == EINTR; }

// Whether there is something to read, or its end, within so long. A signal doesn't make that longer.
bool readable_within(int fd, std::chrono::milliseconds longest) {
    using std::chrono::steady_clock;
    auto end = steady_clock::now() + longest;
    for (;;) {
        auto left = std::chrono::ceil<std::chrono::milliseconds>(end - steady_clock::now());
        pollfd ready{fd, POLLIN, 0};
        auto count = poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, left.count())));
        if (!interrupted(count)) return count > 0;
    }
}

std::string read_all(int fd) {
    std::string all;
    std::array<char, 65'536> piece;
    for (;;) {
        if (!readable_within(fd, reading_takes)) return all;
        auto got = ::read(fd, piece.data(), sizeof piece);
        if (interrupted(got)) continue;
        if (got <= 0) return all;
        all.append(piece.data(), static_cast<std::size_t>(got));
    }
}

void write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        auto put = ::write(fd, bytes.data(), bytes.size());
        if (interrupted(put)) continue;
        if (put <= 0) return;
        bytes.remove_prefix(static_cast<std::size_t>(put));
    }
}

// The child tells 'E' and what is wrong, or 'K' and both records, or nothing at all where it was brought
// down.
void tell_records(int to, const operate::StoreConfig& store) {
    std::string out;
    try {
        auto env = open_env(store, MDB_NOSYNC);
        Transaction trying(env.get(), 0);  // not committed
        out = "K";
        std::size_t size = 0;
        for (auto* key : {current_key, settled_key}) {
            auto record = trying.get(key).value_or("");
            size += record.size();
            bytes::put_number(out, 8, record.size());
            out += record;
        }
        // Writing reads what a later write would: the list of free pages may be the damaged part.
        if (2 * size < store.max_bytes / 2) trying.put("trial", std::string(size, ' '));
    } catch (const Failed& failed) {
        out = "E" + failed.why;
    }
    write_all(to, out);
}

std::string read_in_child(const operate::StoreConfig& store) {
    std::array<int, 2> ends;
    if (pipe2(ends.data(), O_CLOEXEC) != 0) return "Eno pipe";
    pid_t child = fork();
    if (child < 0) {
        close(ends[0]);
        close(ends[1]);
        return "Eno process";
    }
    if (child == 0) {
        for (int ending : {SIGSEGV, SIGBUS, SIGABRT}) signal(ending, SIG_DFL);
        int nowhere = ::open("/dev/null", O_WRONLY | O_CLOEXEC);  // what a library says as it gives up
        if (nowhere >= 0) dup2(nowhere, STDERR_FILENO);
        close(ends[0]);
        tell_records(ends[1], store);
        _exit(0);
    }
    close(ends[1]);
    auto told = read_all(ends[0]);
    close(ends[0]);
    kill(child, SIGKILL);  // it is done, or hangs in a file that leads it in circles
    int status = 0;
    while (interrupted(waitpid(child, &status, 0))) {
    }
    return told;
}

std::string set_aside(const operate::StoreConfig& store, Micros now) {
    auto to = store.path + "/torn-" + std::to_string(now);
    auto from = store.path + "/data.mdb";
    if (::rename(from.c_str(), to.c_str()) != 0 && errno != ENOENT)
        return ", and it can't be set aside: " + std::string(std::strerror(errno));
    ::unlink((store.path + "/lock.mdb").c_str());
    return ", set aside as " + to;
}

std::vector<const version::Bundle*> bundles_of(const version::VersionSet& set) {
    std::vector<const version::Bundle*> all;
    for (auto& one : set)
        if (one) all.push_back(&one->bundle);
    return all;
}

struct NewerFormat : bytes::Malformed {
    using Malformed::Malformed;
};

}  // namespace

std::string encode(const std::vector<const version::Bundle*>& bundles, Micros saved_at,
                   const members::StartTimes& starts) {
    wire::KeptSet set;
    set.set_saved_at_us(saved_at);
    for (auto& [id, at] : starts) {
        auto& one = *set.add_starts();
        one.set_id(id);
        one.set_at_us(at);
    }
    for (auto* bundle : bundles) {
        auto& one = *set.add_bundles();
        one.set_type_url(std::string(discovery::type_url(bundle->kind)));
        one.set_identity(bundle->identity);
        one.set_text(bundle->version_text);
        one.set_number(bundle->number);
        for (auto& [name, item] : bundle->items) {
            auto& kept = *one.add_items();
            kept.set_name(name);
            kept.set_label(item->label);
            kept.set_resource(item->bytes);
        }
    }
    auto body = set.SerializeAsString();
    std::string record;
    record.reserve(head + body.size());
    bytes::put_number(record, 4, magic);
    bytes::put_number(record, 4, format);
    bytes::put_number(record, 8, body.size());
    bytes::put_number(record, 8, XXH3_64bits(body.data(), body.size()));
    return record + body;
}

std::vector<version::Bundle> decode(std::string_view record, Micros& saved_at, members::StartTimes& starts) {
    bytes::Cursor in(record);
    if (in.number(4) != magic) throw bytes::Malformed("no record of this program");
    auto told = in.number(4);
    if (told > format)
        throw NewerFormat("its format is " + std::to_string(told) + ", and this build reads up to " +
                          std::to_string(format));
    auto length = in.number(8);
    auto sum = in.number(8);
    auto body = in.piece(length);
    if (!in.at_end() || XXH3_64bits(body.data(), body.size()) != sum)
        throw bytes::Malformed("its checksum does not hold");
    wire::KeptSet set;
    if (!set.ParseFromArray(body.data(), static_cast<int>(body.size())))
        throw bytes::Malformed("its content can't be read");
    saved_at = set.saved_at_us();
    for (auto& one : set.starts()) starts.emplace_back(one.id(), one.at_us());
    std::vector<version::Bundle> bundles;
    for (auto& one : set.bundles()) {
        auto kind = discovery::kind_of(one.type_url());
        if (!kind) throw bytes::Malformed("it holds a kind that is not known here");
        version::Bundle bundle;
        bundle.kind = *kind;
        bundle.identity = one.identity();
        bundle.version_text = one.text();
        bundle.number = one.number();
        for (auto& kept : one.items()) {
            auto item = std::make_shared<version::Item>();
            item->label = kept.label();
            item->bytes = kept.resource();
            bundle.items[kept.name()] = std::move(item);
        }
        bundle.digest = version::digest_of(bundle.items);
        bundles.push_back(std::move(bundle));
    }
    return bundles;
}

struct SnapshotStore::Inner {
    operate::StoreConfig store;
    Env env;
    std::optional<version::VersionSet> settled;  // as it stands there, written anew only when it changes
};

SnapshotStore::SnapshotStore(std::unique_ptr<Inner> made) : inner(std::move(made)) {}
SnapshotStore::~SnapshotStore() = default;

SnapshotStore::Opened SnapshotStore::open(const operate::StoreConfig& store) {
    Opened opened;
    timespec clock{};
    clock_gettime(CLOCK_REALTIME, &clock);
    Micros now = Micros{clock.tv_sec} * 1'000'000 + clock.tv_nsec / 1000;
    std::error_code error;
    std::filesystem::create_directories(store.path, error);
    if (error || access(store.path.c_str(), W_OK) != 0) {
        opened.problem = "store: " + store.path + " can't be written (" +
                         (error ? error.message() : std::strerror(errno)) + "), so no version is kept";
        return opened;
    }
    try {
        if (access((store.path + "/data.mdb").c_str(), F_OK) == 0) {
            auto told = read_in_child(store);
            std::string torn;
            if (told.empty()) torn = "reading it ends the process";
            if (told.starts_with('E')) torn = told.substr(1);
            if (told.starts_with('K')) try {
                    bytes::Cursor in(std::string_view(told).substr(1));
                    auto current = in.piece(in.number(8)), settled = in.piece(in.number(8));
                    Snapshot kept;
                    Micros ignored = 0;
                    members::StartTimes none;
                    if (!current.empty()) kept.current = decode(current, kept.saved_at, kept.start_times);
                    if (!settled.empty()) kept.settled = decode(settled, ignored, none);
                    if (!current.empty()) opened.snapshot = std::move(kept);
                } catch (const NewerFormat& newer) {
                    opened.problem =
                        std::string("store: ") + newer.what() + "; it is left alone, and no version is kept";
                    return opened;
                } catch (const bytes::Malformed& bad) {
                    torn = bad.what();
                }
            if (!torn.empty()) opened.problem = "store: torn (" + torn + ")" + set_aside(store, now);
        }
        auto inner = std::make_unique<Inner>();
        inner->store = store;
        inner->env = open_env(store, store.sync ? 0 : MDB_NOSYNC);
        Transaction probe(inner->env.get(), 0);  // a read-only file shows here
        opened.store.reset(new SnapshotStore(std::move(inner)));
    } catch (const Failed& failed) {
        opened.problem +=
            (opened.problem.empty() ? "store: " : "; ") + failed.why + ", so no version is kept";
        opened.snapshot.reset();
    }
    return opened;
}

std::optional<std::string> SnapshotStore::write(const version::VersionSet& current,
                                                const version::VersionSet& settled,
                                                const members::StartTimes& starts, Micros now) {
    try {
        if (!inner->env) inner->env = open_env(inner->store, inner->store.sync ? 0 : MDB_NOSYNC);
        Transaction writing(inner->env.get(), 0);
        writing.put(current_key, encode(bundles_of(current), now, starts));
        if (inner->settled != settled) writing.put(settled_key, encode(bundles_of(settled), now, {}));
        writing.commit();
        inner->settled = settled;
        return {};
    } catch (const Failed& failed) {
        inner->settled.reset();
        return failed.why;
    }
}

bool SnapshotStore::clear() {
    inner->env.reset();
    inner->settled.reset();
    auto data = inner->store.path + "/data.mdb";
    bool gone = ::unlink(data.c_str()) == 0 || errno == ENOENT;
    ::unlink((inner->store.path + "/lock.mdb").c_str());
    return gone;
}

}  // namespace quillgrade::vault
