//! The interface of the decision module: settings handed over at start, events that it is told, and
//! actions that it asks for. Nothing here decides, and nothing here knows a wire format.

/// A moment on the host's clock, in nanoseconds. Its zero has no meaning.
pub type Time = i64;
/// A length of time in nanoseconds.
pub type Span = i64;
/// One millisecond as a [`Span`].
pub const MS: Span = 1_000_000;
/// One second as a [`Span`].
pub const SECOND: Span = 1_000 * MS;

/// A client's request, numbered by the host in order of arrival.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A database process that some list has named, numbered in order of first mention.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);
/// A group: one primary and the replicas that hold the same data.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);
/// A client session, whose reads must see its own writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub Box<str>);

/// How current the data behind an answer must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// Must see every commit made before the request came in.
    Strong,
    /// Read-your-writes: must see what its session has written.
    ReadYourWrites,
    /// Staleness bound: the data may be this old when the request is sent on.
    BoundedStaleness(Span),
    /// Any member may answer.
    Eventual,
}

/// What a second execution of a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless to repeat.
    Idempotent,
    /// Repeats are dropped within `scope` for `window` after the first attempt that may have run.
    WithKey {
        /// Where repeats are recognised.
        scope: KeyScope,
        /// How long they are remembered.
        window: Span,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// Where the key of a keyed request is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// In the request's group.
    Group,
    /// In one zone.
    Zone,
    /// Everywhere.
    Global,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// How current its data must be.
    pub consistency: Consistency,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// Answers within this time earn the full worth.
    pub latency_objective: Span,
    /// The client waits this long in all, over all its tries.
    pub deadline: Span,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight_share: f64,
}

/// What a replica does with a read that it is too far behind for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LaggingReads {
    /// Answers from what it has; the router alone guards the bound.
    #[default]
    ServedStale,
    /// Turns it away untouched.
    Rejected,
    /// Waits up to this long to catch up, then turns it away.
    Delayed(Span),
}

/// How the list of members names the primary.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RoleListing {
    /// Some seconds late.
    #[default]
    Delayed,
    /// As it stood when the day began.
    AtStart,
    /// Not at all.
    Never,
}

/// Who knows when a session last wrote.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum SessionTracking {
    /// The client's request carries the age of its last write.
    #[default]
    Client,
    /// The router, from the replies to writes that it has seen.
    Router,
}

/// Where load reports come from.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// On answers and probes.
    #[default]
    OnResponses,
    /// On probes alone.
    OnHealthChecks,
    /// Nowhere.
    Never,
}

/// What the deployment allows.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Limits {
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub hedged_requests: bool,
    /// An attempt may be called off.
    pub cancel: bool,
    /// Members may be probed.
    pub health_checks: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such wait that they respect.
    pub max_retry_after: Span,
    /// Routers may message each other.
    pub gossip: bool,
    /// The host carries word between routers by ways of its own ([`crate::Router::news`]).
    pub host_gossip: bool,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Span,
}

/// The figures behind the rules that every run must keep.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Obligations {
    /// A final answer still counts this long after the client's deadline.
    pub answer_slack: Span,
    /// Nothing new to a member later than this after word that it drains or is gone.
    pub drain_grace: Span,
    /// Only a drain binds; a member that is merely gone from the list may still be tried.
    pub removal_is_advisory: bool,
    /// Share of its capacity that a member starts with.
    pub cold_capacity_share: f64,
    /// It is warm after this long.
    pub warm_up_time: Span,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, a cold member falls over.
    pub overload_window: Span,
}

/// What costs points, as far as decisions turn on it.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Costs {
    /// For each probe, per request.
    pub health_check: f64,
    /// For each attempt that crosses zones, per request.
    pub cross_zone: f64,
    /// For work that served no answer, as a share of the work offered.
    pub wasted_work: f64,
    /// For worth that ended unserved after its aim, as a share of the worth offered.
    pub late_failure: f64,
}

/// What a router is told at start.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// The classes; requests name them by index.
    pub classes: Vec<Class>,
    /// How many routers serve this deployment.
    pub fleet_size: u32,
    /// This router's number among them.
    pub instance_index: u32,
    /// The zone that this router is in.
    pub zone: u32,
    /// The host hands over events no closer together than this.
    pub tick: Span,
    /// The list must be asked for; otherwise changes arrive on their own.
    pub polls_endpoint_list: bool,
    /// A router that must ask is held to have been told what was listed this long ago.
    pub poll_grace: Span,
    /// What a lagging replica does with a read.
    pub lagging_reads: LaggingReads,
    /// Every answer carries a position; otherwise only a write's does.
    pub positions_in_responses: bool,
    /// How the list names the primary.
    pub role_listing: RoleListing,
    /// Who knows when a session last wrote.
    pub session_tracking: SessionTracking,
    /// A write is answered once a replica has it.
    pub commit_waits_for_replica: bool,
    /// Where reports come from.
    pub load_reporting: LoadReporting,
    /// Reports tell positions.
    pub reports_carry_position: bool,
    /// Clients flag their retries.
    pub retries_are_flagged: bool,
    /// What is allowed.
    pub limits: Limits,
    /// The rules' figures.
    pub obligations: Obligations,
    /// What costs points.
    pub costs: Costs,
}

/// What the list says of a member's process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It serves.
    #[default]
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Which member.
    pub id: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Its weight against other members.
    pub weight: f64,
    /// When its process started, if that is recent enough to be told.
    pub started_at: Option<Time>,
    /// What the list says of its process.
    pub lifecycle: Lifecycle,
    /// The list holds it for the primary.
    pub listed_primary: bool,
}

/// How much of the list an event carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// The whole list; who is missing has gone.
    Full,
    /// The whole list as last known before a restart; it may be old.
    Cached,
    /// Changed entries alone.
    Changes,
    /// Asking failed; the old list holds.
    Failed,
}

/// A member's word on itself, as old as the report is.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Every commit up to this moment is applied.
    pub position: Option<Time>,
    /// It is the primary.
    pub is_primary: Option<bool>,
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Busy share of its cores.
    pub utilisation: Option<f64>,
}

/// A request as it came in.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// The group that holds its data.
    pub group: GroupId,
    /// The client gives this try up at this moment.
    pub deadline: Time,
    /// Its session, for writes and read-your-writes.
    pub session: Option<SessionId>,
    /// When the session's last write was committed, by the client's word.
    pub last_write: Option<Time>,
    /// The client says that it repeats an earlier try.
    pub is_retry: bool,
    /// It must see every commit made before it came in, whatever its class needs: what its session wrote is not known.
    pub requires_strong_read: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The member answered with an error; it may have had an effect.
    Error,
    /// Sent away without a look, by a full or a draining member. Never ran.
    Overloaded,
    /// Turned away untouched: a write at a replica, or a read at one too far behind. Never ran.
    Misrouted,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection. Never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// What came back was spoilt: it may have run, and nothing that it said counts. All members' answers may be spoilt
    /// on their way, so it speaks neither for nor against this one.
    MalformedResponse,
    /// Called off; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// The attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Overloaded | Misrouted | ConnectFailed | NotSent)
    }
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// Whose attempt.
    pub request: RequestId,
    /// Its number, from 0 in order of sending.
    pub attempt: u32,
    /// The member it was sent to.
    pub member: MemberId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Span,
    /// The request has its final answer.
    pub request_finished: bool,
    /// The member says that it is the primary, or that it is not.
    pub is_primary: Option<bool>,
    /// The member's position, or the commit time of a write.
    pub position: Option<Time>,
    /// A report that rode along.
    pub load_report: LoadReport,
}

/// What answers have told of one member, in a form that routers can pass on to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipUpdate {
    /// Which member.
    pub member: MemberId,
    /// Every commit up to this moment is applied there.
    pub position: Option<Time>,
    /// It is the primary, or it is not.
    pub is_primary: Option<bool>,
    /// Mean answer time over aim.
    pub latency_ratio: f64,
    /// Over so many answers.
    pub samples: u32,
}

/// The connections that a host may use to one member, where it limits them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionPermits {
    /// How many are free.
    pub free: u32,
    /// From when on one more may be opened.
    pub may_open_from: Time,
}

/// What a router believes of one member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberSnapshot {
    /// This router's requests that it holds.
    pub in_flight: u32,
    /// It gets nothing but trials.
    pub ejected: bool,
    /// Mean answer time over aim.
    pub latency_ratio: f64,
    /// Requests of this router that it may hold.
    pub concurrency_limit: f64,
    /// The latest position heard.
    pub position: Option<Time>,
}

/// What a router can be told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list.
    EndpointList {
        /// How much of it.
        scope: ListScope,
        /// The entries.
        members: Vec<Member>,
    },
    /// A request came in; one final answer is owed.
    Request(Request),
    /// An attempt's stream began; the client owns it from now on.
    StreamStarted {
        /// Whose attempt.
        request: RequestId,
        /// The member that serves it.
        member: MemberId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client left; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// A timer that the router set.
    Timer(u64),
    /// A probe came back.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// It answered.
        responded: bool,
        /// Time since it was sent.
        elapsed: Span,
        /// What it said.
        load_report: LoadReport,
    },
    /// Another router's word.
    Gossip {
        /// When it was sent, by the common clock.
        sent_at: Time,
        /// This router is to pass it on.
        relay: bool,
        /// The word.
        updates: Vec<GossipUpdate>,
    },
}

/// What a router can ask of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// Give up after this; `None`: at the client's deadline.
        timeout: Option<Span>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: not now; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Option<Span>,
    },
    /// Final answer: it failed; nothing is promised.
    Fail(RequestId),
    /// Set a timer.
    SetTimer {
        /// How long from now.
        after: Span,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe a member.
    HealthCheck(MemberId),
    /// Close idle connections to a member.
    CloseIdleConnections(MemberId),
    /// This member is of no more use: its number will not be heard again, and what goes by it may be dropped. Named by a
    /// list once more, it gets a new one.
    ForgetMember(MemberId),
    /// Give word to another router, or to all of them.
    SendGossip {
        /// Its number; `None`: all.
        to: Option<u32>,
        /// The word, which one router is to pass on and all only to take in.
        updates: Vec<GossipUpdate>,
    },
    /// Subscribe to changes of the list.
    Subscribe(bool),
    /// Ask for the list once.
    FetchEndpointList,
    /// A line for the log.
    Log(String),
}
