// Knows which build began each stream, so that a call that takes one up goes on at that build. Pure: messages are
// passed in and returned.
#pragma once

#include "serving/origin_holders.h"
#include "serving/origin_table.h"
#include "serving/service_builds.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace tamarack::serving {

/// Where a stream may have begun, and for how long callers come back for it.
struct origin_scope {
    std::vector<std::uint32_t> services; ///< shortHash() of each service of its route
    duration lifetime = duration::zero();
};

/// Sent to the peers that keep the origins of these streams.
struct origin_notes {
    std::vector<origin_note> notes;
};

/// Sent to peers by a node whose caller takes up a stream that this node does not know.
struct origin_question {
    std::uint64_t number = 0; ///< of the question at its sender
    stream_key stream; ///< invalid: the caller has not named it
    origin_scope scope;
};

/// The answer of a peer.
struct origin_reply {
    std::uint64_t number = 0; ///< of the question
    build_id build; ///< that began the stream; invalid: the sender does not know it
    std::vector<build_id> builds; ///< of the services in question, within the lifetime in question
    bool isComplete = false; ///< the sender has noticed every build within that time
};

using origin_message = std::variant<origin_notes, origin_question, origin_reply>;

struct addressed_origin_message {
    std::vector<node_endpoint> to;
    origin_message message;
};

enum class origin_source : unsigned char {
    own, ///< this node has the stream's note
    told, ///< a peer has it
    only_build, ///< the services have had one build only
    unknown, ///< no node that was asked knows it
    unanswered, ///< no peer has answered
    count
};

std::string_view toString(origin_source source);

struct origin_finding {
    request_id request;
    origin_source source = origin_source::unknown;
    build_id build; ///< invalid: it must not be guessed
    duration waited = duration::zero();
};

/// A node notes the streams that it begins. While their services have several builds, it tells the notes to some peers
/// before the first event leaves. A call that takes up a stream goes by this node's notes, then by those of the peers.
/// If nobody has one, the stream is at the only build that there has been, or unknown. Only a list that is younger than
/// the call shows that there has been no other: a build that has just come may have begun the stream.
class stream_origins {
public:
    /// `knownSince`: see service_builds. The fleet must outlive this object.
    stream_origins(const fleet_table& fleet, instant knownSince);

    /// Notes that found no peer are told to the first ones that come.
    void setPeers(std::vector<origin_peer> peers);
    /// This node's target list was complete at that instant. A build may have come and gone since the last time if that
    /// was long ago.
    void listConfirmed(instant at);
    /// For how long this node has noticed every build, to be sent to a peer; zero while its list may lack some.
    duration historyToShare(instant now) const;
    /// A peer with such a history has sent its list, which is part of the fleet.
    void adoptHistory(duration length, instant now);
    service_builds& builds() { return m_builds; }
    const service_builds& builds() const { return m_builds; }

    /// The first event of the call is about to go to its caller. A call that takes up a stream prolongs its note.
    void began(stream_key stream, build_id build, const origin_scope& scope, instant now);
    /// Finds the origin for a call that takes up a stream, at once or by asking peers. An invalid `stream` is one that
    /// the caller has not named. `request` has one question at most.
    std::optional<origin_finding> find(request_id request, stream_key stream, const origin_scope& scope, instant now);
    /// The request has ended, and its answer is of no use any more.
    void cancel(request_id request) { m_questions.erase(request); }

    void notesReceived(const origin_notes& message, instant now);
    origin_reply replyTo(const origin_question& question, instant now);
    void replyReceived(const node_endpoint& from, const origin_reply& reply);

    /// Reads the fleet, tells notes that peers have come to need, and repeats questions.
    void tick(instant now);
    /// Questions that have an answer or whose time is over.
    std::vector<origin_finding> takeFindings(instant now);
    std::vector<addressed_origin_message> takeMessages() { return std::exchange(m_outbox, {}); }
    std::size_t notesKept() const { return m_notes.size(); }

private:
    struct open_question {
        origin_question question;
        instant askedAt;
        bool wasListCurrent = false; // of this node, at askedAt
        bool isRepeated = false;
        bool isAskedLate = false; // again, once the list of a peer that counts as current is younger than the call
        std::vector<node_endpoint> silent; // peers that have not answered
        std::size_t replies = 0;
        build_id told;
        std::vector<build_id> builds; // of the replies
        bool isComplete = false; // of one reply
        bool isConfirmed = false; // of a reply by a list that is younger than the call
    };

    /// Tells the notes that peers have come to need once a service has several builds.
    void readFleet(instant now);
    bool isListCurrent(instant now) const;
    /// The builds that may have begun a stream of this scope, as far as this node knows.
    std::vector<build_id> buildsOf(const origin_scope& scope, instant now) const;
    bool isComplete(const origin_scope& scope, instant now) const;
    /// Whether a stream of this scope can be taken up elsewhere without a note.
    bool isEvident(const origin_scope& scope, instant now) const;
    void tell(std::vector<origin_note> notes);
    std::vector<node_endpoint> askedOf(const origin_question& question) const;
    /// The only build that may have begun the stream, by lists that may be older than the call; invalid: there are
    /// several, or this is not certain.
    build_id onlyBuild(const open_question& asked, instant now) const;
    /// Whether a current list of this node or of a peer is younger than the call.
    bool isConfirmed(const open_question& asked) const;
    bool isDecided(const open_question& asked, instant now) const;
    origin_finding conclude(request_id request, const open_question& asked, instant now) const;

    service_builds m_builds;
    origin_table m_notes;
    origin_holders m_holders;
    std::vector<origin_note> m_withoutPeer; // to be told when there is a peer
    instant m_listConfirmedAt;
    std::map<request_id, open_question> m_questions;
    std::vector<addressed_origin_message> m_outbox;
};

}
