/** @file snapshot_func.cpp Snapshots of the fleet's state: encoding, decoding of older formats, chunks in the log. */
#include "snapshot_func.h"

#include "fleet_hash.h"

#include <algorithm>

namespace {

using namespace glade::wire;

/** Converts a set to the vector that FlatBuffers encodes. */
std::vector<std::string> ListOf(const std::set<std::string> &all)
{
	return {all.begin(), all.end()};
}

/** Converts a decoded vector to a set. */
std::set<std::string> SetOf(const std::vector<std::string> &all)
{
	return {all.begin(), all.end()};
}

std::unique_ptr<SnapBoxT> Pack(const Box &box)
{
	auto packed = std::make_unique<SnapBoxT>();
	packed->box = box.name.Value();
	packed->zone = box.zone.Value();
	packed->rack = box.rack.Value();
	packed->address = box.address;
	packed->slots = box.slots.Value();
	packed->pool = box.pool.Value();
	packed->epoch = box.epoch.Value();
	packed->state = static_cast<uint8_t>(box.state);
	packed->health = static_cast<uint8_t>(box.health);
	packed->permit = box.permit.Value();
	packed->purpose = static_cast<uint8_t>(box.purpose);
	packed->urgent = box.urgent;
	packed->move_to = box.move_to.Value();
	packed->last_maintained = box.last_maintained.Value();
	packed->since = box.since.Value();
	packed->strikes = box.strikes;
	packed->strike_jobs = ListOf(box.strike_jobs);
	packed->registered = box.registered.Value();
	packed->health_since = box.health_since.Value();
	packed->confirmed = ListOf(box.confirmed);
	return packed;
}

Box Unpack(const SnapBoxT &packed)
{
	Box box;
	box.name = BoxName(packed.box);
	box.SetDomains(ZoneName(packed.zone), RackName(packed.rack));
	box.address = packed.address;
	box.slots = Slots(packed.slots);
	box.pool = PoolName(packed.pool);
	box.epoch = BoxEpoch(packed.epoch);
	box.state = static_cast<BoxState>(packed.state);
	box.health = static_cast<BoxHealth>(packed.health);
	box.permit = PermitId(packed.permit);
	box.purpose = static_cast<PermitPurpose>(packed.purpose);
	box.urgent = packed.urgent;
	box.move_to = PoolName(packed.move_to);
	box.last_maintained = Millis(packed.last_maintained);
	box.since = Millis(packed.since);
	box.strikes = packed.strikes;
	box.strike_jobs = SetOf(packed.strike_jobs);
	box.registered = Millis(packed.registered);
	box.health_since = Millis(packed.health_since);
	box.confirmed = SetOf(packed.confirmed);
	return box;
}

std::unique_ptr<SnapMemberT> Pack(const Member &member)
{
	auto packed = std::make_unique<SnapMemberT>();
	packed->member = member.name.Value();
	packed->role = static_cast<uint8_t>(member.role);
	packed->region = member.region.Value();
	packed->zone = member.zone.Value();
	packed->address = member.address;
	packed->frames = member.frames;
	packed->incarnation = member.incarnation.Value();
	packed->since = member.since.Value();
	packed->rules = member.rules;
	packed->witnesses = ListOf(member.witnesses);
	return packed;
}

Member Unpack(const SnapMemberT &packed)
{
	Member member;
	member.name = MemberName(packed.member);
	member.role = static_cast<MemberRole>(packed.role);
	member.region = RegionName(packed.region);
	member.zone = ZoneName(packed.zone);
	member.address = packed.address;
	member.frames = packed.frames;
	member.incarnation = Incarnation(packed.incarnation);
	member.since = Millis(packed.since);
	member.rules = packed.rules;
	member.witnesses = SetOf(packed.witnesses);
	return member;
}

std::unique_ptr<SnapJobT> Pack(const Job &job)
{
	auto packed = std::make_unique<SnapJobT>();
	packed->job = job.name.Value();
	packed->team = job.team.Value();
	packed->work_class = static_cast<uint8_t>(job.work_class);
	packed->units = job.units;
	packed->repeatable = job.repeatable;
	packed->state = static_cast<uint8_t>(job.state);
	packed->box = job.box.Value();
	packed->box_epoch = job.box_epoch.Value();
	packed->attempt = job.attempt;
	packed->failed_on = ListOf(job.failed_on);
	packed->accepted = job.accepted.Value();
	packed->since = job.since.Value();
	return packed;
}

Job Unpack(const SnapJobT &packed)
{
	Job job;
	job.name = JobName(packed.job);
	job.team = TeamName(packed.team);
	job.work_class = static_cast<WorkClass>(packed.work_class);
	job.units = packed.units;
	job.repeatable = packed.repeatable;
	job.state = static_cast<JobState>(packed.state);
	job.box = BoxName(packed.box);
	job.box_epoch = BoxEpoch(packed.box_epoch);
	job.attempt = packed.attempt;
	job.failed_on = SetOf(packed.failed_on);
	job.accepted = Millis(packed.accepted);
	job.since = Millis(packed.since);
	return job;
}

/**
 * Packs cells, zones, planners, writers and teams.
 * @param fleet The state.
 * @param[out] snap The snapshot.
 */
void PackSmallMaps(const FleetState &fleet, SnapshotT &snap)
{
	for (const auto &[key, cell] : fleet.cells) {
		auto packed = std::make_unique<SnapCellT>();
		packed->service = key.service.Value();
		packed->column = key.column;
		packed->value = cell.value;
		packed->version = cell.version.Value();
		snap.cells.push_back(std::move(packed));
	}
	for (const auto &[zone, change] : fleet.zones) {
		auto packed = std::make_unique<SnapZoneT>();
		packed->zone = zone.Value();
		packed->changes = change.changes;
		packed->last = change.last.Value();
		snap.zones.push_back(std::move(packed));
	}
	for (const auto &[region, planner] : fleet.planners) {
		auto packed = std::make_unique<SnapTermT>();
		packed->region = region.Value();
		packed->member = planner.member.Value();
		packed->term = planner.term.Value();
		snap.terms.push_back(std::move(packed));
	}
	for (const auto &[writer, progress] : fleet.writers) {
		auto packed = std::make_unique<SnapWriterT>();
		packed->writer = writer;
		packed->incarnation = progress.incarnation.Value();
		packed->sequence = progress.sequence;
		packed->last = progress.last.Value();
		snap.writers.push_back(std::move(packed));
	}
	for (const auto &[team, units] : fleet.teams) {
		auto packed = std::make_unique<SnapTeamT>();
		packed->team = team.Value();
		packed->units = units;
		snap.teams.push_back(std::move(packed));
	}
}

/**
 * Builds a state from a snapshot of the newest format.
 * @param snap The snapshot.
 * @return The state.
 */
FleetState Load(const SnapshotT &snap)
{
	FleetState fleet;
	fleet.offset = LogOffset(snap.offset);
	fleet.time = Millis(snap.time);
	fleet.rule_version = snap.rule_version;
	fleet.table_version = TableVersion(snap.table_version);
	for (const auto &it : snap.cells) {
		fleet.cells[CellKey{ServiceName(it->service), it->column}] = Cell{it->value, TableVersion(it->version)};
	}
	for (const auto &it : snap.boxes) {
		fleet.boxes[BoxName(it->box)] = Unpack(*it);
	}
	for (const auto &it : snap.members) {
		fleet.members[MemberName(it->member)] = Unpack(*it);
	}
	for (const auto &it : snap.zones) {
		fleet.zones[ZoneName(it->zone)] = ZoneChange{it->changes, Millis(it->last)};
	}
	for (const auto &it : snap.terms) {
		fleet.planners[RegionName(it->region)] = PlannerAssignment{MemberName(it->member), Term(it->term)};
	}
	for (const auto &it : snap.writers) {
		fleet.writers[it->writer] = WriterProgress{Incarnation(it->incarnation), it->sequence, Millis(it->last)};
	}
	for (const auto &it : snap.teams) {
		fleet.teams[TeamName(it->team)] = it->units;
	}
	for (const auto &it : snap.jobs) {
		fleet.jobs[JobName(it->job)] = Unpack(*it);
	}
	fleet.Rebuild();
	return fleet;
}

} // namespace

std::string PackSnapshot(const FleetState &fleet)
{
	SnapshotT snap;
	snap.format = SNAPSHOT_FORMAT;
	snap.offset = fleet.offset.Value();
	snap.time = fleet.time.Value();
	snap.rule_version = fleet.rule_version;
	snap.table_version = fleet.table_version.Value();
	PackSmallMaps(fleet, snap);
	for (const auto &[name, box] : fleet.boxes) {
		snap.boxes.push_back(Pack(box));
	}
	for (const auto &[name, member] : fleet.members) {
		snap.members.push_back(Pack(member));
	}
	for (const auto &[name, job] : fleet.jobs) {
		snap.jobs.push_back(Pack(job));
	}
	flatbuffers::FlatBufferBuilder builder;
	builder.Finish(Snapshot::Pack(builder, &snap));
	return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<FleetState> UnpackSnapshot(const std::string &bytes, uint64_t hash)
{
	const auto *data = reinterpret_cast<const uint8_t *>(bytes.data());
	flatbuffers::Verifier verifier(data, bytes.size(), 64, 100000000);
	if (!verifier.VerifyBuffer<Snapshot>()) {
		return std::nullopt;
	}
	const std::unique_ptr<SnapshotT> snap(flatbuffers::GetRoot<Snapshot>(data)->UnPack());
	/* Format 1 is the first. Migrations go here, each from a format to the next. */
	if (snap->format == 0 || snap->format > SNAPSHOT_FORMAT) {
		return std::nullopt;
	}
	FleetState fleet = Load(*snap);
	if (fleet.Hash() != hash) {
		return std::nullopt;
	}
	return fleet;
}

std::vector<std::unique_ptr<ProposalT>> SplitSnapshot(const std::string &bytes, const FleetState &fleet)
{
	std::vector<std::unique_ptr<ProposalT>> proposals;
	const size_t count = (bytes.size() + SNAPSHOT_CHUNK_BYTES - 1) / SNAPSHOT_CHUNK_BYTES;
	for (size_t i = 0; i < count; i++) {
		const std::string part = bytes.substr(i * SNAPSHOT_CHUNK_BYTES, SNAPSHOT_CHUNK_BYTES);
		SnapshotChunkT chunk;
		chunk.base_offset = fleet.offset.Value();
		chunk.base_hash = fleet.Hash();
		chunk.index = static_cast<uint32_t>(i);
		chunk.count = static_cast<uint32_t>(count);
		chunk.bytes.assign(part.begin(), part.end());
		proposals.push_back(MakeProposal(std::move(chunk)));
	}
	return proposals;
}

void SnapshotCollector::Add(const LogRecord &record)
{
	const std::unique_ptr<BatchT> batch = DecodeBatch(record.bytes);
	if (!batch) {
		return;
	}
	for (const auto &proposal : batch->proposals) {
		if (const auto *chunk = proposal->change.AsSnapshotChunk(); chunk != nullptr) {
			const Source source{LogOffset(chunk->base_offset), batch->writer, Incarnation(batch->incarnation)};
			this->AddChunk(source, *chunk);
		}
	}
}

void SnapshotCollector::AddChunk(const Source &source, const SnapshotChunkT &chunk)
{
	if (source.base <= this->Base()) {
		return;
	}
	auto &parts = this->partial[source];
	parts[chunk.index] = std::string(chunk.bytes.begin(), chunk.bytes.end());
	if (parts.size() < chunk.count) {
		return;
	}
	std::string bytes;
	for (const auto &[index, part] : parts) {
		bytes += part;
	}
	this->partial.erase(source);
	if (std::optional<FleetState> state = UnpackSnapshot(bytes, chunk.base_hash); state) {
		this->newest = std::move(state);
		std::erase_if(this->partial, [&](const auto &it) { return it.first.base <= this->Base(); });
	}
}
