// Control plane decisions of one node.
#include "decide/control_system.h"

#include "base/hash.h"

#include <algorithm>

namespace tamarack {

control_system::control_system(control_identity self, control_settings settings, instant now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_follower([this](const log_record& record, verdict v) { onRecord(record, v); })
    , m_leases(m_self.instance, settings.lease)
    , m_orders(m_self.instance, settings.orders)
    , m_members(m_self.instance.node, settings.members, stableHash(toString(m_self.instance)))
    , m_ready(settings.ready, now)
{
}

void control_system::onRecord(const log_record& record, verdict v)
{
    m_leases.onLogRecord(record, v, m_now);
    m_orders.onLogRecord(record, v, m_now);
    if (std::holds_alternative<snapshot_record>(record.body)) {
        m_lastSnapshot = record.offset;
        m_nextSnapshot = m_now + m_settings.snapshotInterval;
    }
}

void control_system::onLogPage(const decoded_page& page, instant now)
{
    m_now = now;
    const auto before = replicated().next();
    const bool hadGap = m_follower.hasGap();
    m_follower.applyPage(page);
    if (hadGap && !m_follower.hasGap() && replicated().next() > before)
        applyRestoredState(now);
    m_ready.onLogResponse(m_follower.hasReachedEnd(), now);
}

void control_system::onPeerHeartbeat(const peer_state& state, instant now)
{
    m_members.applyHeartbeat(state, now);
    m_ready.onPeerHeartbeat(state.configurationVersion, now);
    m_orders.onIncarnation(state.instance, now);
}

void control_system::onPeerIncarnation(const instance_id& instance, instant now)
{
    // If the wall clock was set back before this process started, peers take it for an older incarnation of this node.
    m_hasNewerIncarnation
        |= instance.node == m_self.instance.node && instance.incarnation > m_self.instance.incarnation;
    m_orders.onIncarnation(instance, now);
}

void control_system::onPeerState(const replicated_data& data, instant now)
{
    m_now = now;
    if (m_follower.adopt(data))
        applyRestoredState(now);
}

void control_system::applyRestoredState(instant now)
{
    m_leases.onStateRestored(replicated(), now);
    m_orders.onStateRestored(replicated(), now);
}

void control_system::onVmList(const std::vector<listed_vm>& vms, instant now) { m_members.updateVmList(vms, now); }

void control_system::onTargetView(const std::string& target, const target_view& view)
{
    m_views[target] = view;
    m_orders.onTargetView(target, view);
}

void control_system::onDeliveryResult(log_offset order, delivery_result result)
{
    m_orders.onDeliveryResult(order, result);
}

void control_system::onServiceDemand(const std::string& service, const role_demand& demand)
{
    m_demand[service] = demand;
}

void control_system::stop()
{
    m_isStopping = true;
    m_ready.setStopping();
}

std::string control_system::leaseName(const std::string& service) const { return m_self.region + "/" + service; }

bool control_system::holdsLease(const std::string& service, instant now) const
{
    return m_leases.holds(leaseName(service), replicated(), now);
}

bool control_system::hasReleased(instant now) const
{
    if (!m_configuration)
        return true;
    return std::none_of(m_configuration->services.begin(), m_configuration->services.end(),
        [&](const auto& service) { return holdsLease(service.name, now); });
}

void control_system::applyConfiguration(instant now, control_output& out)
{
    const auto& replicatedConfiguration = replicated().configuration();
    if (replicatedConfiguration.version <= m_parsedVersion)
        return;
    m_parsedVersion = replicatedConfiguration.version;
    auto read = readDeployment(replicatedConfiguration.text, "version " + std::to_string(m_parsedVersion));
    m_ready.setAppliedVersion(m_parsedVersion, now);
    if (const auto* errors = std::get_if<setting_errors>(&read)) {
        // An invalid text in the log cannot be removed, only superseded. The last valid text stays in use.
        m_configurationError = toString(errors->front());
        return;
    }
    m_configurationError.clear();
    m_servedVersion = m_parsedVersion;
    m_configuration = std::make_shared<deployment>(std::move(std::get<deployment>(read)));
    for (auto& [name, planner] : m_planners)
        planner.setPolicy(m_configuration->policy);
    out.configuration = m_configuration;
}

void control_system::updateLeaseRanks(instant now)
{
    if (!m_configuration)
        return;
    // Ranks the live nodes for each lease by rendezvous hashing. This spreads the leases over the nodes, and when a
    // holder fails, the node that ranks next claims the lease first.
    const auto alive = m_members.alive(now);
    std::map<std::string, int> ranks;
    for (const auto& service : m_configuration->services) {
        if (!service.isEngine())
            continue;
        const auto lease = leaseName(service.name);
        const auto ownWeight = rendezvousWeight(m_self.instance.node, lease);
        int rank = 0;
        for (const auto* peer : alive)
            rank += peer->isReady && !peer->isStopping && rendezvousWeight(peer->instance.node, lease) > ownWeight;
        ranks[lease] = rank;
    }
    m_leases.setLeases(ranks);
}

std::vector<planned_engine> control_system::enginesOf(const service_entry& service) const
{
    std::vector<planned_engine> engines;
    for (const auto& target : service.targets) {
        planned_engine engine { target.name, target.availabilityZone, engine_role::mixed, false, false };
        const auto found = m_views.find(target.name);
        if (found != m_views.end() && found->second.isKnown) {
            engine.isAvailable = true;
            engine.isChanging = found->second.isChanging || replicated().orders(target.name).isOpen;
            const auto role = found->second.settings.find(order_kind::role);
            bool isRole = false;
            if (role != found->second.settings.end())
                engine.role = parseRole(role->second, isRole);
        }
        engines.push_back(std::move(engine));
    }
    return engines;
}

namespace {

    /// The orders that load what the configuration specifies for a service's engines. An empty value means no
    /// requirement.
    std::vector<target_order> wantedWeights(const service_entry& service)
    {
        std::string adapters;
        for (const auto& adapter : service.adapters)
            adapters += (adapters.empty() ? "" : ",") + adapter;
        return { { order_kind::model, service.model }, { order_kind::version, service.version },
            { order_kind::adapter, adapters } };
    }

}

bool control_system::planWeights(const service_entry& service, const std::vector<planned_engine>& engines)
{
    for (const auto& order : wantedWeights(service)) {
        if (order.value.empty())
            continue;
        for (const auto& engine : engines) {
            const auto found = m_views.find(engine.name);
            if (found == m_views.end() || !engine.isAvailable || engine.isChanging)
                continue;
            const auto present = found->second.settings.find(order.kind);
            if (present == found->second.settings.end() || present->second == order.value)
                continue;
            startChange(service, engine.name, order);
            return true;
        }
    }
    return false;
}

void control_system::planRoles(const service_entry& service, const std::vector<planned_engine>& engines, instant now)
{
    if (service.prefillTargets == 0)
        return;
    const auto order = [&](const planned_engine& engine, engine_role role) {
        startChange(service, engine.name, { order_kind::role, std::string(toString(role)) });
    };
    // First establishes the initial split from the configuration, which leaves the remaining engines mixed. After that
    // the planner changes it.
    int prefill = 0;
    int decode = 0;
    for (const auto& engine : engines) {
        prefill += engine.role == engine_role::prefill;
        decode += engine.role == engine_role::decode;
    }
    const bool hasInitialSplit = prefill + decode >= service.prefillTargets + service.decodeTargets;
    for (const auto& engine : engines) {
        if (!hasInitialSplit && engine.isAvailable && engine.role == engine_role::mixed)
            return order(engine, prefill < service.prefillTargets ? engine_role::prefill : engine_role::decode);
    }
    if (!m_configuration->policy.planRoles)
        return;
    auto& planner = m_planners.try_emplace(service.name, m_configuration->policy).first->second;
    if (const auto change = planner.plan(engines, m_demand[service.name], now)) {
        const auto isIt = [&](const auto& engine) { return engine.name == change->target; };
        order(*std::find_if(engines.begin(), engines.end(), isIt), change->role);
    }
}

void control_system::startChange(const service_entry& service, const std::string& target, target_order order)
{
    m_orders.setDesired(target, leaseName(service.name), service.checksFencing, order);
    m_changes[service.name] = { target, std::move(order) };
}

bool control_system::isChangeInProgress(const std::string& service)
{
    const auto pending = m_changes.find(service);
    if (pending == m_changes.end())
        return false;
    const auto& [target, order] = pending->second;
    const auto view = m_views.find(target);
    const bool isKnown = view != m_views.end() && view->second.isKnown;
    const auto present
        = isKnown ? view->second.settings.find(order.kind) : std::map<order_kind, std::string>::const_iterator();
    const bool isDone = isKnown && present != view->second.settings.end() && present->second == order.value;
    if (isKnown && (!isDone || replicated().orders(target).isOpen))
        return true;
    m_orders.clearDesired(target);
    m_changes.erase(pending);
    return false;
}

void control_system::planService(const service_entry& service, instant now)
{
    if (isChangeInProgress(service.name))
        return;
    const auto engines = enginesOf(service);
    const bool isChanging = std::any_of(engines.begin(), engines.end(), [](const auto& e) { return e.isChanging; });
    if (isChanging)
        return;
    if (!planWeights(service, engines))
        planRoles(service, engines, now);
}

void control_system::appendSnapshotIfDue(instant now, control_output& out)
{
    if (now < m_nextSnapshot || replicated().next().value == 0 || !m_configuration)
        return;
    const auto holder = std::find_if(m_configuration->services.begin(), m_configuration->services.end(),
        [](const auto& service) { return service.isEngine(); });
    if (holder == m_configuration->services.end() || !holdsLease(holder->name, now))
        return;
    m_nextSnapshot = now + m_settings.snapshotInterval;
    out.appends.push_back(snapshot_record { replicated().data() });
}

control_output control_system::tick(instant now)
{
    control_output out;
    m_ready.setHasPeers(m_members.knownCount() > 0);
    applyConfiguration(now, out);
    updateLeaseRanks(now);
    if (m_isStopping && !m_orders.hasUndelivered())
        m_leases.releaseAll();
    const bool mayClaim = m_ready.acceptsWork(now) && m_follower.hasReachedEnd();
    for (auto& append : m_leases.step(replicated(), now, mayClaim))
        out.appends.push_back(std::move(append.body));
    if (m_configuration && !m_isStopping) {
        for (const auto& service : m_configuration->services) {
            if (service.isEngine() && holdsLease(service.name, now))
                planService(service, now);
        }
    }
    auto orders = m_orders.step(replicated(), m_leases, now);
    for (auto& append : orders.appends)
        out.appends.push_back(std::move(append.body));
    out.deliveries = std::move(orders.deliveries);
    appendSnapshotIfDue(now, out);
    return out;
}

void control_system::onAppendSent(const record_body& body, std::uint64_t sequence, instant now)
{
    m_leases.onAppendSent(body, sequence, now);
}

std::vector<alarm> control_system::alarms(instant now) const
{
    std::vector<alarm> raised;
    if (!m_ready.isLogReachable(now))
        raised.push_back({ "log_unreachable", "the platform's log has not answered lately" });
    if (m_follower.hasGap())
        raised.push_back({ "log_gap", "records expired before this node read them, and no snapshot bridges the gap" });
    if (!m_configurationError.empty())
        raised.push_back({ "configuration_invalid", m_configurationError });
    if (m_hasNewerIncarnation)
        raised.push_back({ "incarnation_too_low", "peers know a newer life of this node; its clock was set back" });
    const auto state = m_ready.state(now);
    if (state == readiness_state::behind || state == readiness_state::cut_off)
        raised.push_back({ "not_ready", std::string(toString(state)) });
    for (const auto& target : m_orders.waitingForProof())
        raised.push_back({ "order_waits_for_proof", target });
    return raised;
}

}
