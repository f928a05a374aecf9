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

constexpr std::uint32_t magic = 0x71674b56, record_format = 1;
constexpr std::size_t header_length = 4 + 4 + 8 + 8;  // magic, format, length, checksum
constexpr std::size_t max_record_length = 256U << 20;
constexpr std::chrono::seconds read_timeout{10};  // of one read from the child
constexpr const char *current_key = "current", *settled_key = "settled";

struct EnvCloser {
    void operator()(MDB_env* env) const { mdb_env_close(env); }
};
using Env = std::unique_ptr<MDB_env, EnvCloser>;

struct StoreError {
    std::string reason;
};

void check(int code, const char* operation) {
    if (code) throw StoreError{std::string(operation) + ": " + mdb_strerror(code)};
}

// Aborted by the destructor unless it was committed.
class Transaction {
public:
    Transaction(MDB_env* env, unsigned flags) {
        check(mdb_txn_begin(env, nullptr, flags, &txn), "begin");
        if (int code = mdb_dbi_open(txn, nullptr, 0, &table)) {
            mdb_txn_abort(txn);
            throw StoreError{std::string("open: ") + mdb_strerror(code)};
        }
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    ~Transaction() {
        if (txn) mdb_txn_abort(txn);
    }
    std::optional<std::string> get(const char* key) {
        MDB_val name = to_value(key), found{};
        int code = mdb_get(txn, table, &name, &found);
        if (code == MDB_NOTFOUND) return {};
        check(code, "read");
        if (found.mv_size > max_record_length) throw StoreError{"a record is longer than 256 MB"};
        return std::string(static_cast<const char*>(found.mv_data), found.mv_size);
    }
    void put(const char* key, const std::string& record) {
        MDB_val name = to_value(key), data{record.size(), const_cast<char*>(record.data())};
        check(mdb_put(txn, table, &name, &data, 0), "write");
    }
    void commit() { check(mdb_txn_commit(std::exchange(txn, nullptr)), "commit"); }

private:
    static MDB_val to_value(const char* key) { return {std::strlen(key), const_cast<char*>(key)}; }
    MDB_txn* txn = nullptr;
    MDB_dbi table = 0;
};

Env open_env(const operate::StoreConfig& store, unsigned flags) {
    MDB_env* made = nullptr;
    check(mdb_env_create(&made), "create");
    Env env(made);
    check(mdb_env_set_mapsize(env.get(), store.max_bytes), "size");
    check(mdb_env_open(env.get(), store.path.c_str(), flags | MDB_NOTLS, 0600), "open");
    return env;
}

// Without this check, a signal would be taken for the end of the child's output or for a broken pipe.
bool interrupted(ssize_t result) { return result < 0 && errno == EINTR; }

// Whether data or the end of the stream can be read before the timeout. A signal doesn't extend the timeout.
bool readable_within(int fd, std::chrono::milliseconds timeout) {
    using std::chrono::steady_clock;
    auto deadline = steady_clock::now() + timeout;
    for (;;) {
        auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - steady_clock::now());
        pollfd ready{fd, POLLIN, 0};
        auto count = poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, remaining.count())));
        if (!interrupted(count)) return count > 0;
    }
}

std::string read_all(int fd) {
    std::string output;
    std::array<char, 65'536> chunk;
    for (;;) {
        if (!readable_within(fd, read_timeout)) return output;
        auto count = ::read(fd, chunk.data(), sizeof chunk);
        if (interrupted(count)) continue;
        if (count <= 0) return output;
        output.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

void write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        auto count = ::write(fd, bytes.data(), bytes.size());
        if (interrupted(count)) continue;
        if (count <= 0) return;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

// The child's output: 'E' and an error, or 'K' and both records, each after its length. Nothing at all if it
// crashed.
void write_records(int fd, const operate::StoreConfig& store) {
    std::string output;
    try {
        auto env = open_env(store, MDB_NOSYNC);
        Transaction transaction(env.get(), 0);  // not committed
        output = "K";
        std::size_t size = 0;
        for (auto* key : {current_key, settled_key}) {
            auto record = transaction.get(key).value_or("");
            size += record.size();
            bytes::put_number(output, 8, record.size());
            output += record;
        }
        // A write reads what a later write would read: the damage may be in the list of free pages.
        if (2 * size < store.max_bytes / 2) transaction.put("trial", std::string(size, ' '));
    } catch (const StoreError& error) {
        output = "E" + error.reason;
    }
    write_all(fd, output);
}

std::string read_in_child(const operate::StoreConfig& store) {
    std::array<int, 2> pipe_ends;
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) return "Ecan't create a pipe";
    pid_t child = fork();
    if (child < 0) {
        close(pipe_ends[0]);
        close(pipe_ends[1]);
        return "Ecan't create a child process";
    }
    if (child == 0) {
        for (int crash_signal : {SIGSEGV, SIGBUS, SIGABRT}) signal(crash_signal, SIG_DFL);
        int null_device =
            ::open("/dev/null", O_WRONLY | O_CLOEXEC);  // discards what LMDB prints as it aborts
        if (null_device >= 0) dup2(null_device, STDERR_FILENO);
        close(pipe_ends[0]);
        write_records(pipe_ends[1], store);
        _exit(0);
    }
    close(pipe_ends[1]);
    auto output = read_all(pipe_ends[0]);
    close(pipe_ends[0]);
    kill(child, SIGKILL);  // it is done, or loops on a damaged file
    int status = 0;
    while (interrupted(waitpid(child, &status, 0))) {
    }
    return output;
}

std::string quarantine(const operate::StoreConfig& store, Micros now) {
    auto target = store.path + "/torn-" + std::to_string(now);
    auto source = store.path + "/data.mdb";
    if (::rename(source.c_str(), target.c_str()) != 0 && errno != ENOENT)
        return ", and it can't be set aside: " + std::string(std::strerror(errno));
    ::unlink((store.path + "/lock.mdb").c_str());
    return ", set aside as " + target;
}

std::vector<const version::Bundle*> bundles_of(const version::VersionSet& set) {
    std::vector<const version::Bundle*> bundles;
    for (auto& validated : set)
        if (validated) bundles.push_back(&validated->bundle);
    return bundles;
}

struct NewerFormat : bytes::Malformed {
    using Malformed::Malformed;
};

}  // namespace

std::string encode(const std::vector<const version::Bundle*>& bundles, Micros saved_at,
                   const members::StartTimes& start_times) {
    wire::KeptSet set;
    set.set_saved_at_us(saved_at);
    for (auto& [id, at] : start_times) {
        auto& start = *set.add_starts();
        start.set_id(id);
        start.set_at_us(at);
    }
    for (auto* bundle : bundles) {
        auto& kept_bundle = *set.add_bundles();
        kept_bundle.set_type_url(std::string(discovery::type_url(bundle->kind)));
        kept_bundle.set_identity(bundle->identity);
        kept_bundle.set_text(bundle->version_text);
        kept_bundle.set_number(bundle->number);
        for (auto& [name, item] : bundle->items) {
            auto& kept_item = *kept_bundle.add_items();
            kept_item.set_name(name);
            kept_item.set_label(item->label);
            kept_item.set_resource(item->bytes);
        }
    }
    auto body = set.SerializeAsString();
    std::string record;
    record.reserve(header_length + body.size());
    bytes::put_number(record, 4, magic);
    bytes::put_number(record, 4, record_format);
    bytes::put_number(record, 8, body.size());
    bytes::put_number(record, 8, XXH3_64bits(body.data(), body.size()));
    return record + body;
}

std::vector<version::Bundle> decode(std::string_view record, Micros& saved_at,
                                    members::StartTimes& start_times) {
    bytes::Cursor in(record);
    if (in.number(4) != magic) throw bytes::Malformed("not a record of this program");
    auto found_format = in.number(4);
    if (found_format > record_format)
        throw NewerFormat("its format is " + std::to_string(found_format) + ", and this build reads up to " +
                          std::to_string(record_format));
    auto length = in.number(8);
    auto checksum = in.number(8);
    auto body = in.piece(length);
    if (!in.at_end() || XXH3_64bits(body.data(), body.size()) != checksum)
        throw bytes::Malformed("its checksum is wrong");
    wire::KeptSet set;
    if (!set.ParseFromArray(body.data(), static_cast<int>(body.size())))
        throw bytes::Malformed("its content can't be parsed");
    saved_at = set.saved_at_us();
    for (auto& start : set.starts()) start_times.emplace_back(start.id(), start.at_us());
    std::vector<version::Bundle> bundles;
    for (auto& kept_bundle : set.bundles()) {
        auto kind = discovery::kind_of(kept_bundle.type_url());
        if (!kind) throw bytes::Malformed("it holds an unknown kind of resource");
        version::Bundle bundle;
        bundle.kind = *kind;
        bundle.identity = kept_bundle.identity();
        bundle.version_text = kept_bundle.text();
        bundle.number = kept_bundle.number();
        for (auto& kept_item : kept_bundle.items()) {
            auto item = std::make_shared<version::Item>();
            item->label = kept_item.label();
            item->bytes = kept_item.resource();
            bundle.items[kept_item.name()] = std::move(item);
        }
        bundle.digest = version::digest_of(bundle.items);
        bundles.push_back(std::move(bundle));
    }
    return bundles;
}

struct SnapshotStore::Inner {
    operate::StoreConfig config;
    Env env;
    std::optional<version::VersionSet> settled;  // as stored; written again only when it changes
};

SnapshotStore::SnapshotStore(std::unique_ptr<Inner> state) : inner(std::move(state)) {}
SnapshotStore::~SnapshotStore() = default;

SnapshotStore::Opened SnapshotStore::open(const operate::StoreConfig& config) {
    Opened opened;
    timespec clock{};
    clock_gettime(CLOCK_REALTIME, &clock);
    Micros now = Micros{clock.tv_sec} * 1'000'000 + clock.tv_nsec / 1000;
    std::error_code error;
    std::filesystem::create_directories(config.path, error);
    if (error || access(config.path.c_str(), W_OK) != 0) {
        opened.problem = "store: " + config.path + " can't be written (" +
                         (error ? error.message() : std::strerror(errno)) + "), so no version is kept";
        return opened;
    }
    try {
        if (access((config.path + "/data.mdb").c_str(), F_OK) == 0) {
            auto output = read_in_child(config);
            std::string damage;
            if (output.empty()) damage = "the process that reads it crashes or hangs";
            if (output.starts_with('E')) damage = output.substr(1);
            if (output.starts_with('K')) try {
                    bytes::Cursor in(std::string_view(output).substr(1));
                    auto current = in.piece(in.number(8)), settled = in.piece(in.number(8));
                    Snapshot snapshot;
                    Micros unused_time = 0;
                    members::StartTimes unused_start_times;
                    if (!current.empty())
                        snapshot.current = decode(current, snapshot.saved_at, snapshot.start_times);
                    if (!settled.empty()) snapshot.settled = decode(settled, unused_time, unused_start_times);
                    if (!current.empty()) opened.snapshot = std::move(snapshot);
                } catch (const NewerFormat& newer) {
                    opened.problem =
                        std::string("store: ") + newer.what() + "; it is left alone, and no version is kept";
                    return opened;
                } catch (const bytes::Malformed& malformed) {
                    damage = malformed.what();
                }
            if (!damage.empty()) opened.problem = "store: torn (" + damage + ")" + quarantine(config, now);
        }
        auto inner = std::make_unique<Inner>();
        inner->config = config;
        inner->env = open_env(config, config.sync ? 0 : MDB_NOSYNC);
        Transaction probe(inner->env.get(), 0);  // fails if the file is read-only
        opened.store.reset(new SnapshotStore(std::move(inner)));
    } catch (const StoreError& failure) {
        opened.problem +=
            (opened.problem.empty() ? "store: " : "; ") + failure.reason + ", so no version is kept";
        opened.snapshot.reset();
    }
    return opened;
}

std::optional<std::string> SnapshotStore::write(const version::VersionSet& current,
                                                const version::VersionSet& settled,
                                                const members::StartTimes& start_times, Micros now) {
    try {
        if (!inner->env) inner->env = open_env(inner->config, inner->config.sync ? 0 : MDB_NOSYNC);
        Transaction transaction(inner->env.get(), 0);
        transaction.put(current_key, encode(bundles_of(current), now, start_times));
        if (inner->settled != settled) transaction.put(settled_key, encode(bundles_of(settled), now, {}));
        transaction.commit();
        inner->settled = settled;
        return {};
    } catch (const StoreError& error) {
        inner->settled.reset();
        return error.reason;
    }
}

bool SnapshotStore::clear() {
    inner->env.reset();
    inner->settled.reset();
    auto data_file = inner->config.path + "/data.mdb";
    bool deleted = ::unlink(data_file.c_str()) == 0 || errno == ENOENT;
    ::unlink((inner->config.path + "/lock.mdb").c_str());
    return deleted;
}

}  // namespace quillgrade::vault
