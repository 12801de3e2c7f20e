// Encodes peer messages as cereal portable binary archives, preceded by a checksum and by a magic number that includes
// the protocol version.
#include "peer/peer_messages.h"

#include "base/hash.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace tamarack {

namespace {

    /// A heartbeat has a few.
    constexpr std::uint64_t maxQuarantineRecords = 64;

}

template <class Archive> void serialize(Archive& archive, instance_id& id) { archive(id.node, id.incarnation); }

template <class Archive> void serialize(Archive& archive, key_home& home) { archive(home.instance, home.issuedAt); }

template <class Archive> void serialize(Archive& archive, key_answer& answer)
{
    archive(answer.decision, answer.storedAnswer, answer.movedTo);
}

template <class Archive> void serialize(Archive& archive, peer_state& state)
{
    archive(state.instance, state.region, state.availabilityZone, state.address, state.callerPort, state.peerPort,
        state.adminPort, state.configurationVersion, state.configurationHash, state.logReach, state.isLogReachable,
        state.isStopping, state.isReady);
}

template <class Archive> void serialize(Archive& archive, load_entry& entry)
{
    archive(entry.targetHash, entry.running, entry.prefillPieces, entry.ageMilliseconds, entry.flags);
}

template <class Archive> void serialize(Archive& archive, demand_entry& entry)
{
    archive(entry.serviceHash, entry.promptTokens, entry.outputTokens, entry.refusedShare);
}

template <class Archive> void serialize(Archive& archive, digest_entry& entry)
{
    archive(entry.vm, entry.address, entry.peerPort, entry.incarnation, entry.configurationVersion);
}

namespace {

    // No overload of serialize(): the other interface has one for the same type, in the same namespace and program.
    /// Archives records of whole requests, the only ones that this interface quarantines. Lengths and ages take as few
    /// bytes as they need, so that a full heartbeat fits into one datagram.
    template <class Archive> void archiveQuarantine(Archive& archive, std::vector<quarantine_record>& records)
    {
        auto count = static_cast<std::uint64_t>(records.size());
        archive(count);
        if (count > maxQuarantineRecords)
            throw cereal::Exception("too many quarantine records");
        records.resize(count);
        for (auto& record : records) {
            auto ageMilliseconds
                = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(record.age).count());
            auto targets = static_cast<std::uint8_t>(std::min<std::size_t>(record.targets.size(), 255));
            archive(record.trait.account, record.trait.content, record.clearances, ageMilliseconds, record.isStored,
                targets);
            record.account = record.trait.account;
            record.age = std::chrono::milliseconds(ageMilliseconds);
            record.targets.resize(targets);
            for (auto& target : record.targets)
                archive(target);
        }
    }

}

template <class Archive> void serialize(Archive& archive, heartbeat& message)
{
    archive(message.sender, message.loads, message.demands, message.digest);
    archiveQuarantine(archive, message.quarantine);
}

template <class Archive> void serialize(Archive& archive, peer_request& message)
{
    archive(message.question, message.asker, message.key, message.home);
}

template <class Archive> void serialize(Archive& archive, peer_reply& message)
{
    archive(message.isKnown, message.agreedState, message.key);
}

namespace {

    constexpr std::uint32_t magic = 0x54525932; // "TRY2": protocol name and version

    constexpr std::size_t checksumBytes = 8;

    std::string checksum(std::string_view payload)
    {
        std::uint64_t hash = stableHash(payload);
        std::string bytes;
        for (std::size_t i = 0; i < checksumBytes; ++i, hash >>= 8)
            bytes += static_cast<char>(hash & 0xff);
        return bytes;
    }

    template <class Message> std::string encode(const Message& message)
    {
        std::ostringstream stream;
        {
            cereal::PortableBinaryOutputArchive archive(stream);
            archive(magic, message);
        }
        const auto payload = stream.str();
        return checksum(payload) + payload;
    }

    // Verifies the checksum before parsing: cereal allocates whatever length a damaged message contains, so garbage
    // received on the port could otherwise exhaust the memory.
    template <class Message> std::optional<Message> decode(const std::string& bytes)
    {
        if (bytes.size() <= checksumBytes)
            return std::nullopt;
        const auto payload = bytes.substr(checksumBytes);
        if (bytes.compare(0, checksumBytes, checksum(payload)) != 0)
            return std::nullopt;
        try {
            std::istringstream stream(payload);
            cereal::PortableBinaryInputArchive archive(stream);
            std::uint32_t found = 0;
            archive(found);
            if (found != magic)
                return std::nullopt;
            Message message;
            archive(message);
            return message;
        } catch (const std::exception&) {
            return std::nullopt; // a message of another protocol version
        }
    }

}

std::string encodeHeartbeat(const heartbeat& message) { return encode(message); }

std::string encodeRequest(const peer_request& message) { return encode(message); }

std::string encodeReply(const peer_reply& message) { return encode(message); }

std::optional<heartbeat> decodeHeartbeat(const std::string& bytes) { return decode<heartbeat>(bytes); }

std::optional<peer_request> decodeRequest(const std::string& bytes) { return decode<peer_request>(bytes); }

std::optional<peer_reply> decodeReply(const std::string& bytes) { return decode<peer_reply>(bytes); }

}
