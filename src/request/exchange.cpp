/** @file exchange.cpp Handling of one request. */
#include "exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace {

constexpr const char *RUN_NO = "no";           ///< The request certainly did not run.
constexpr const char *RUN_UNKNOWN = "unknown"; ///< The request may have run.
constexpr int STATUS_SERVER_ERROR = 500;       ///< First HTTP status that counts as a server error.
constexpr int STATUS_UNAVAILABLE = 503;        ///< HTTP status that, with RUN_NO, says the request did not run.

/**
 * @param target Path and query of the request.
 * @return First segment of the path, which names the service; empty when there is none.
 */
std::string FirstSegment(const std::string &target)
{
	if (target.empty() || target[0] != '/') {
		return "";
	}
	const size_t end = target.find_first_of("/?", 1);
	return target.substr(1, end == std::string::npos ? std::string::npos : end - 1);
}

/**
 * @param method HTTP method.
 * @return Whether the method is idempotent (RFC 9110, section 9.2.2).
 */
bool IsIdempotent(const std::string &method)
{
	return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS" ||
		   method == "TRACE";
}

/**
 * @param text Decimal digits.
 * @return The number; nothing when the text is no number above 0.
 */
std::optional<int64_t> ParsePositive(const std::string &text)
{
	int64_t n = 0;
	const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
	if (ec != std::errc() || end != text.data() + text.size() || n <= 0) {
		return std::nullopt;
	}
	return n;
}

} // namespace

Exchange::Exchange(Scheduler &scheduler, RequestPath &path, EndpointDialer &dialer, CallerSink &sink,
				   CallerRequest request)
		: scheduler(scheduler), path(path), dialer(dialer), sink(&sink), request(std::move(request))
{
	this->path.counters.received++;
	this->path.counters.open++;
}

Exchange::~Exchange()
{
	this->path.counters.open--;
}

void Exchange::Start()
{
	this->self = this->shared_from_this();
	this->started_at = this->scheduler.Now();
	if (const Result result = this->Identify(); !result.Ok()) {
		this->NotRun(result.code, Millis(0));
		return;
	}
	this->ReadDeadline();
	this->ReadRepeatable();
	if (const Result result = this->ReadKey(); !result.Ok()) {
		this->NotRun(result.code, Millis(0));
		return;
	}
	if (this->ClaimKey()) {
		this->AskForSlot();
	}
}

Result Exchange::Identify()
{
	if (this->path.stopping) {
		return {ResultCode::RC_STOPPING, ""};
	}
	if (!this->path.routes.HasView()) {
		return {ResultCode::RC_NO_VIEW, ""};
	}
	this->facts.service = ServiceName(FirstSegment(this->request.target));
	if (this->request.from_peer) {
		const std::string *peer_account = this->request.headers.Find(HEADER_ACCOUNT);
		if (peer_account == nullptr) {
			return {ResultCode::RC_NOT_IDENTIFIED, ""};
		}
		this->facts.account = AccountName(*peer_account);
	} else {
		const Credential *credential = this->path.credentials.Find(this->request.headers.Find("Authorization"));
		if (credential == nullptr) {
			return {ResultCode::RC_NOT_IDENTIFIED, ""};
		}
		/* A service that the account may not use is reported as unknown, so that its existence is not disclosed. */
		if (!credential->services.empty() && !credential->services.contains(this->facts.service)) {
			return {ResultCode::RC_UNKNOWN_SERVICE, ""};
		}
		this->facts.account = credential->account;
	}
	const std::optional<Route> found = this->path.routes.Find(this->facts.service);
	if (!found) {
		return {ResultCode::RC_UNKNOWN_SERVICE, ""};
	}
	this->route = *found;
	this->facts.work_class = this->route.row.work_class;
	return {};
}

void Exchange::ReadDeadline()
{
	const RequestSettings &settings = this->path.settings;
	Millis wait = settings.deadline_normal;
	if (this->facts.work_class == WorkClass::WC_URGENT) {
		wait = settings.deadline_urgent;
	} else if (this->facts.work_class == WorkClass::WC_BATCH) {
		wait = settings.deadline_batch;
	}
	if (const std::string *text = this->request.headers.Find(HEADER_DEADLINE); text != nullptr) {
		wait = std::min(Millis(ParsePositive(*text).value_or(wait.Value())), settings.deadline_max);
	}
	this->facts.deadline = this->started_at + wait;
	this->timer = this->scheduler.After(wait, [this] { this->OnDeadline(); });
}

void Exchange::ReadRepeatable()
{
	const std::string *value = this->request.headers.Find(HEADER_REPEATABLE);
	this->facts.repeatable = IsIdempotent(this->request.method) || this->route.row.repeatable ||
							 (value != nullptr && EqualsIgnoreCase(*value, "yes"));
}

Result Exchange::ReadKey()
{
	const std::string *key = this->request.headers.Find(HEADER_KEY);
	if (key == nullptr || this->facts.repeatable) {
		return {};
	}
	if (!KeyIssueTime(*key)) {
		return {ResultCode::RC_KEY_MALFORMED, ""};
	}
	this->facts.key = KeyId{this->facts.account, this->facts.service, *key};
	return {};
}

bool Exchange::ClaimKey()
{
	if (!this->facts.key) {
		return true;
	}
	const KeyId &key = *this->facts.key;
	const Millis issued = *KeyIssueTime(key.key);
	const KeyOwner owner = this->path.routes.OwnerOf(key, issued, this->path.keys.Limits().skew, this->scheduler.Now());
	if (!owner.self) {
		/* A forwarded request is not forwarded again: the view of one of the two entries is outdated. The request did
		 * not run. */
		if (owner.code != ResultCode::RC_OK || this->request.from_peer) {
			this->NotRun(ResultCode::RC_KEY_OWNER_AWAY, Millis(MS_PER_SECOND));
			return false;
		}
		this->ForwardTo(owner.address);
		return false;
	}
	if (owner.code == ResultCode::RC_KEY_LEASE_LAPSED) {
		this->NotRun(owner.code, Millis(MS_PER_SECOND));
		return false;
	}
	if (owner.code != ResultCode::RC_OK) {
		this->Refuse(owner.code, RUN_UNKNOWN);
		return false;
	}
	const uint64_t fingerprint =
			HashText(this->request.method + ' ' + this->request.target + '\n' + this->request.body);
	const KeyDecision decision = this->path.keys.Begin(key, fingerprint, this->scheduler.WallNow());
	if (decision.replay) {
		this->Replay(*decision.replay);
		return false;
	}
	if (decision.code == ResultCode::RC_OK) {
		this->key_held = true;
		return true;
	}
	const bool may_have_run = decision.code == ResultCode::RC_KEY_RAN || decision.code == ResultCode::RC_KEY_RUNNING ||
							  decision.code == ResultCode::RC_KEY_EXPIRED;
	this->Refuse(decision.code, may_have_run ? RUN_UNKNOWN : RUN_NO);
	return false;
}

void Exchange::AskForSlot()
{
	this->state = ExchangeState::ES_WAITING;
	const uint64_t attempt = ++this->slot_attempt;
	SlotRequest want;
	want.service = this->facts.service;
	want.work_class = this->facts.work_class;
	want.deadline = this->facts.deadline;
	want.avoid = this->tried;
	want.no_queue = this->request.from_peer && !this->facts.key;
	want.done = [still = this->weak_from_this(), scheduler = &this->scheduler, gate = this->route.gate,
				 service = this->facts.service, attempt](const GateDecision &answer) {
		scheduler->Post([still, gate, service, attempt, answer, scheduler] {
			if (const auto it = still.lock(); it) {
				it->OnGateDecision(attempt, answer);
			} else if (answer.code == ResultCode::RC_OK) {
				gate->Release(answer.grant.box, service, CallOutcome::CO_CANCELLED, Millis(0), scheduler->Now());
			}
		});
	};
	const std::optional<GateDecision> answer =
			this->route.gate->RequestSlot(std::move(want), this->scheduler.Now(), this->slot_request);
	if (answer) {
		this->OnGateDecision(attempt, *answer);
	}
}

void Exchange::OnGateDecision(uint64_t attempt, const GateDecision &answer)
{
	if (attempt != this->slot_attempt || this->state != ExchangeState::ES_WAITING) {
		if (answer.code == ResultCode::RC_OK) {
			this->route.gate->Release(answer.grant.box, this->facts.service, CallOutcome::CO_CANCELLED, Millis(0),
									  this->scheduler.Now());
		}
		return;
	}
	this->slot_request = SlotRequestId();
	if (answer.code == ResultCode::RC_OK) {
		this->OnGranted(answer.grant);
		return;
	}
	if (answer.code == ResultCode::RC_CANNOT_BE_ON_TIME || !this->TryOtherZone()) {
		const bool none_connected = !this->tried.empty() && answer.code == ResultCode::RC_NO_ENDPOINT;
		this->NotRun(none_connected ? ResultCode::RC_CONNECT_FAILED : answer.code, answer.retry_after);
	}
}

bool Exchange::TryOtherZone()
{
	/* A forwarded request is not forwarded again, and a keyed request must run at the owner of its key. */
	if (!this->path.settings.spillover || this->request.from_peer || this->facts.key) {
		return false;
	}
	const std::vector<Peer> peers = this->path.routes.PeersElsewhere();
	if (peers.empty()) {
		return false;
	}
	this->ForwardTo(
			peers[HashText(this->request.target + std::to_string(this->started_at.Value())) % peers.size()].address);
	return true;
}

void Exchange::OnGranted(const Grant &slot)
{
	this->grant = slot;
	this->granted_at = this->scheduler.Now();
	this->attempts++;
	this->Send(slot.address);
}

void Exchange::ForwardTo(const std::string &address)
{
	this->to_peer = true;
	this->path.counters.forwarded++;
	this->Send(address);
}

CallerRequest Exchange::Outgoing() const
{
	CallerRequest out = this->request;
	out.headers.RemoveHopByHop();
	for (const std::string_view name : {std::string_view("Authorization"), HEADER_ACCOUNT, HEADER_EPOCH,
										HEADER_FORWARDED, HEADER_DEADLINE, std::string_view("Expect")}) {
		out.headers.Remove(name);
	}
	out.headers.Add(std::string(HEADER_ACCOUNT), this->facts.account.Value());
	const Millis left = std::max(this->facts.deadline - this->scheduler.Now(), Millis(1));
	out.headers.Add(std::string(HEADER_DEADLINE), std::to_string(left.Value()));
	if (this->to_peer) {
		out.headers.Add(std::string(HEADER_FORWARDED), this->path.self.name.Value());
	} else {
		out.headers.Add(std::string(HEADER_EPOCH), std::to_string(this->grant->epoch.Value()));
	}
	return out;
}

void Exchange::Send(const std::string &address)
{
	this->state = ExchangeState::ES_SENT;
	this->store_body = this->key_held;
	this->call = this->dialer.Start(address, this->Outgoing(), *this);
}

void Exchange::OnResponseHead(ResponseHead it)
{
	const std::string *run = it.headers.Find(HEADER_RUN);
	const bool not_run = it.status == STATUS_UNAVAILABLE && run != nullptr && EqualsIgnoreCase(*run, RUN_NO);
	if (not_run && this->state == ExchangeState::ES_SENT && this->MayRetry()) {
		this->Retry(CallOutcome::CO_REFUSED);
		return;
	}
	if (not_run && !this->to_peer && this->key_held) {
		this->path.keys.Forget(*this->facts.key);
		this->key_held = false;
	}
	this->head = std::move(it);
	if (this->state == ExchangeState::ES_DETACHED) {
		return;
	}
	this->state = ExchangeState::ES_RELAYING;
	/* The deadline ends with the response head, since a streamed body may take any time. */
	this->scheduler.Cancel(this->timer);
	this->timer = TimerId();
	ResponseHead out = *this->head;
	out.headers.RemoveHopByHop();
	this->sink->Begin(out);
}

void Exchange::OnResponseBody(std::string_view data)
{
	if (this->store_body) {
		this->stored_body.append(data);
		if (this->stored_body.size() > this->path.keys.Limits().answer_bytes) {
			this->store_body = false;
			this->stored_body.clear();
		}
	}
	if (this->state != ExchangeState::ES_RELAYING) {
		return;
	}
	this->sink->Body(data);
	if (this->sink != nullptr && this->sink->Congested()) {
		this->call->SetPaused(true);
	}
}

void Exchange::OnCallerWritable()
{
	if (this->call && this->state == ExchangeState::ES_RELAYING) {
		this->call->SetPaused(false);
	}
}

void Exchange::OnResponseEnd()
{
	this->FinishKey(true);
	const bool good = this->head->status < STATUS_SERVER_ERROR;
	const std::string *run = this->head->headers.Find(HEADER_RUN);
	const bool refused = this->head->status == STATUS_UNAVAILABLE && run != nullptr && EqualsIgnoreCase(*run, RUN_NO);
	if (good) {
		this->path.retries.OnSuccess();
	}
	const CallOutcome outcome = good ? CallOutcome::CO_SUCCESS : CallOutcome::CO_SERVER_ERROR;
	this->GiveBack(refused ? CallOutcome::CO_REFUSED : outcome);
	if (this->state == ExchangeState::ES_RELAYING) {
		this->path.counters.answered++;
		this->path.RecordLatency(this->facts.service,
								 static_cast<double>((this->scheduler.Now() - this->started_at).Value()));
		if (this->sink != nullptr) {
			this->sink->End();
		}
	}
	this->Finish();
}

void Exchange::OnCallFailed(CallFailure failure)
{
	const bool not_sent = failure == CallFailure::CF_NOT_CONNECTED;
	this->DropCall();
	if (this->state == ExchangeState::ES_DETACHED) {
		if (not_sent && this->key_held) {
			this->path.keys.Forget(*this->facts.key);
			this->key_held = false;
		}
		this->FinishKey(false);
		this->GiveBack(CallOutcome::CO_CONNECTION_FAILED);
		this->Finish();
		return;
	}
	if (this->state == ExchangeState::ES_RELAYING) {
		/* Part of the response has been sent: the caller must be able to tell that it is incomplete. */
		this->FinishKey(false);
		this->GiveBack(CallOutcome::CO_CONNECTION_FAILED);
		this->path.counters.broken++;
		if (this->sink != nullptr) {
			this->sink->Abort();
		}
		this->Finish();
		return;
	}
	if (this->to_peer) {
		const ResultCode code = this->facts.key ? ResultCode::RC_KEY_OWNER_AWAY : ResultCode::RC_NO_ENDPOINT;
		if (not_sent) {
			this->NotRun(code, Millis(MS_PER_SECOND));
		} else {
			this->Refuse(ResultCode::RC_ENDPOINT_BROKE, RUN_UNKNOWN);
		}
		return;
	}
	if ((not_sent || this->facts.repeatable) && this->MayRetry()) {
		this->Retry(CallOutcome::CO_CONNECTION_FAILED);
		return;
	}
	this->GiveBack(CallOutcome::CO_CONNECTION_FAILED);
	if (not_sent) {
		this->NotRun(ResultCode::RC_CONNECT_FAILED, Millis(MS_PER_SECOND));
	} else {
		this->Refuse(ResultCode::RC_ENDPOINT_BROKE, RUN_UNKNOWN);
	}
}

bool Exchange::MayRetry() const
{
	return !this->to_peer && this->attempts < this->path.settings.max_attempts &&
		   this->scheduler.Now() < this->facts.deadline && this->path.retries.TrySpend();
}

void Exchange::Retry(CallOutcome outcome)
{
	this->path.counters.retries++;
	this->tried.insert(this->grant->box);
	this->GiveBack(outcome);
	this->DropCall();
	this->stored_body.clear();
	this->AskForSlot();
}

void Exchange::OnDeadline()
{
	this->timer = TimerId();
	if (this->state == ExchangeState::ES_WAITING) {
		this->route.gate->CancelRequest(this->slot_request);
		this->NotRun(ResultCode::RC_CANNOT_BE_ON_TIME, Millis(MS_PER_SECOND));
		return;
	}
	if (this->state == ExchangeState::ES_SENT) {
		/* The endpoint may still be working: its slot is held until the call ends, and the response is discarded. */
		const auto hold = this->self;
		this->Refuse(ResultCode::RC_DEADLINE_PASSED, RUN_UNKNOWN);
		return;
	}
	if (this->state == ExchangeState::ES_DETACHED) {
		this->FinishKey(false);
		this->GiveBack(CallOutcome::CO_CONNECTION_FAILED);
		this->Finish();
	}
}

void Exchange::OnCallerDisconnected()
{
	this->sink = nullptr;
	if (this->state == ExchangeState::ES_DONE || this->state == ExchangeState::ES_DETACHED) {
		return;
	}
	this->path.counters.callers_left++;
	if (this->state == ExchangeState::ES_SENT) {
		this->Detach();
		return;
	}
	if (this->state == ExchangeState::ES_RELAYING && this->key_held) {
		/* Reading goes on, to store the response for a retry with the same key. */
		this->call->SetPaused(false);
		this->Detach();
		return;
	}
	if (this->state == ExchangeState::ES_WAITING) {
		this->route.gate->CancelRequest(this->slot_request);
	}
	if (this->key_held && this->state == ExchangeState::ES_WAITING) {
		this->path.keys.Forget(*this->facts.key);
		this->key_held = false;
	}
	this->GiveBack(CallOutcome::CO_CANCELLED);
	this->Finish();
}

void Exchange::Detach()
{
	this->state = ExchangeState::ES_DETACHED;
	this->scheduler.Cancel(this->timer);
	this->timer = this->scheduler.After(this->path.settings.detach_patience, [this] { this->OnDeadline(); });
}

void Exchange::DropCall()
{
	if (!this->call) {
		return;
	}
	/* This function may have been called by the call: it is destroyed later, from the event loop. */
	this->call->Abandon();
	this->scheduler.Post([call = std::shared_ptr<EndpointCall>(std::move(this->call))] {});
}

void Exchange::GiveBack(CallOutcome outcome)
{
	if (!this->grant) {
		return;
	}
	const Millis now = this->scheduler.Now();
	const BoxName box = this->grant->box;
	this->grant.reset();
	this->route.gate->Release(box, this->facts.service, outcome, now - this->granted_at, now);
}

void Exchange::FinishKey(bool complete)
{
	if (!this->key_held) {
		return;
	}
	this->key_held = false;
	std::shared_ptr<const StoredResponse> answer;
	if (complete && this->store_body && this->head) {
		answer = std::make_shared<StoredResponse>(StoredResponse{*this->head, std::move(this->stored_body)});
	}
	this->path.keys.Finish(*this->facts.key, std::move(answer));
}

void Exchange::NotRun(ResultCode code, Millis retry_after)
{
	if (this->key_held) {
		this->path.keys.Forget(*this->facts.key);
		this->key_held = false;
	}
	this->Refuse(code, RUN_NO, retry_after);
}

void Exchange::Refuse(ResultCode code, const char *run, Millis retry_after)
{
	ResponseHead out;
	out.status = HttpStatusOf(code);
	out.headers.Add("Content-Type", "application/json");
	out.headers.Add(std::string(HEADER_RUN), run);
	out.headers.Add(std::string(HEADER_CODE), std::to_string(static_cast<int>(code)));
	if (retry_after > Millis(0)) {
		const int64_t seconds = (retry_after.Value() + MS_PER_SECOND - 1) / MS_PER_SECOND;
		out.headers.Add("Retry-After", std::to_string(seconds));
	}
	const std::string body = std::string("{\"code\":") + std::to_string(static_cast<int>(code)) + ",\"symbol\":\"" +
							 SymbolOf(code) + "\",\"message\":\"" + make_error_code(code).message() + "\",\"run\":\"" +
							 run + "\"}\n";
	out.length = body.size();
	(run == RUN_NO ? this->path.counters.refused : this->path.counters.unknown)++;
	if (this->sink != nullptr) {
		this->sink->Begin(out);
		this->sink->Body(body);
		this->sink->End();
	}
	this->sink = nullptr;
	if (this->state == ExchangeState::ES_SENT && this->call) {
		this->Detach();
		return;
	}
	this->FinishKey(false);
	this->Finish();
}

void Exchange::Replay(const StoredResponse &response)
{
	this->path.counters.replayed++;
	ResponseHead out = response.head;
	out.headers.RemoveHopByHop();
	out.headers.Add(std::string(HEADER_REPLAYED), "yes");
	out.length = response.body.size();
	if (this->sink != nullptr) {
		this->sink->Begin(out);
		this->sink->Body(response.body);
		this->sink->End();
	}
	this->Finish();
}

void Exchange::Finish()
{
	this->state = ExchangeState::ES_DONE;
	this->sink = nullptr;
	this->scheduler.Cancel(this->timer);
	this->timer = TimerId();
	this->DropCall();
	if (this->self) {
		this->scheduler.Post([hold = std::move(this->self)] {});
	}
}
