//! Tests of the admission gate: which requests it rejects before the decisions see them, and which outcomes
//! of the admitted requests its checks are told.

use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_driver::AdmissionGate;
use shorewharf_settings::operator::OperatorSettings;

/// Token of the gate's migration timer.
const MIGRATION_TIMER: u64 = 1 << 63;
/// Kind bits in the token of a request's deadline timer. The lower half is the request's id.
const DEADLINE_TIMER: u64 = 4 << 40;
/// A token that belongs to no timer.
const UNKNOWN_TIMER: u64 = 77;

struct GateTest {
    gate: AdmissionGate,
    now: f64,
    last_id: u32,
}

fn request(id: u32, tenant: usize, now: f64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        tenant,
        key: u64::from(id),
        deadline: now + 3.0,
        load: None,
        group: 0,
        is_mid_flow: false,
        is_returning: false,
    }
}

impl GateTest {
    /// Creates the fleet's only balancer, with two servers and two tenants that may have ten connections
    /// each.
    fn new(operator: &str) -> GateTest {
        let text = br#"{"classes":[{"promise_s":0.8,"semantics":"read_like"}],"group_size":1,"tick_s":0.005,
            "tenants":[{"quota_per_s":10},{"quota_per_s":10}],
            "specifics":{"mode":"proxy","message_aim_s":[0.05],"tenant_quota_connections":[10,10]},
            "limits":{"cancel":true,"max_attempts":5,"retry_after":true,"max_retry_after_s":1.5}}"#;
        let settings = shorewharf_settings::parse(text).expect("settings").settings;
        let operator = OperatorSettings::parse(operator).expect("an operator's file");
        let mut test = GateTest { gate: AdmissionGate::new(0, settings, 7, &operator), now: 1.0, last_id: 0 };
        test.handle(Event::Start);
        let entry = |id| {
            let server = ServerId(id);
            ServerEntry { server, zone: 0, cell: 0, state: ServerState::Ready, weight: 1.0, started_at: 0.0 }
        };
        let entries = vec![entry(1), entry(2)].into();
        test.handle(Event::EndpointList { is_complete: true, is_cached: false, entries });
        test
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gate.handle(self.now, event, &mut actions);
        actions
    }

    fn receive_request(&mut self, tenant: usize) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let request = request(self.last_id, tenant, self.now);
        (request.id, self.handle(Event::RequestReceived(request)))
    }

    /// Connects a client. Returns its request and its server, or `None` if it is rejected.
    fn connect(&mut self, tenant: usize) -> Option<(RequestId, ServerId)> {
        let (request, actions) = self.receive_request(tenant);
        let server = attempted_server(&actions)?;
        self.handle(Event::Established { request, attempt: 0 });
        Some((request, server))
    }

    fn end_attempt(
        &mut self,
        (request, server): (RequestId, ServerId),
        outcome: Outcome,
        is_answered: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request,
            server,
            attempt: 0,
            outcome,
            is_answered,
            load_ratio: None,
        })
    }

    fn connections(&mut self, tenant: usize) -> u64 {
        let now = shorewharf_units::micros_from_seconds(self.now);
        self.gate.tenants().expect("quotas are enforced").tenancy().stats(now).tenants[tenant].1.connections
    }
}

fn attempted_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::BeginAttempt { server, .. } => Some(*server),
        _ => None,
    })
}

/// A tenant asks for far more connections than its quota. Its excess requests must be rejected at once with a
/// retry-after and without any other action, the other tenant must be served, and every way in which an
/// admitted request can end must release its connection from the quota exactly once.
#[test]
fn every_outcome_releases_a_connection_once() {
    let mut test = GateTest::new("[tenancy]\non = true");
    let established: Vec<_> = (0..40).filter_map(|_| test.connect(0)).collect();
    // The tenant's own ten connections. Lending ends at 0.4 of the total of twenty.
    assert_eq!((established.len(), test.connections(0)), (10, 10));
    let (id, actions) = test.receive_request(0);
    let [Action::Reject { request, retry_after }] = actions[..] else { panic!("{actions:?}") };
    assert!(request == id && retry_after > 0.0 && retry_after <= 1.5, "{retry_after}");
    assert_eq!(test.gate.rejections().get("tenant-connections"), Some(&31));
    assert!(test.connect(1).is_some());
    test.now += 10.0;
    let actions = test.receive_request(0).1;
    let line = "requests rejected by admission checks since the last report: tenant 0 tenant-connections 32";
    assert!(actions.contains(&Action::Log(line.to_owned())), "{actions:?}");

    // One connection ends normally, and one breaks, which is reported twice.
    test.end_attempt(established[0], Outcome::Ok, true);
    test.end_attempt(established[1], Outcome::Reset, true);
    test.end_attempt(established[1], Outcome::Reset, true);
    assert_eq!(test.connections(0), 8);
    // A client leaves while its attempt is pending: the connection is released when the attempt has ended.
    let (id, actions) = test.receive_request(0);
    let Some(server) = attempted_server(&actions) else { panic!("{actions:?}") };
    test.handle(Event::ClientLeft(id));
    assert_eq!(test.connections(0), 9);
    test.end_attempt((id, server), Outcome::Cancelled, true);
    assert_eq!(test.connections(0), 8);
    // All servers reject a request, and then so do the decisions.
    let (id, mut actions) = test.receive_request(0);
    let mut attempt = 0;
    while let Some(server) = attempted_server(&actions) {
        let ended = Event::AttemptEnded {
            request: id,
            server,
            attempt,
            outcome: Outcome::Rejected,
            is_answered: false,
            load_ratio: None,
        };
        actions = test.handle(ended);
        attempt += 1;
        let has_set_timer = actions.iter().any(|action| matches!(action, Action::SetTimer { .. }));
        if has_set_timer && attempted_server(&actions).is_none() {
            // No server is left, so the request is deferred until its deadline's timer fires.
            test.now += 3.0;
            actions = test.handle(Event::TimerFired(DEADLINE_TIMER | u64::from(id.0)));
        }
    }
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { .. })), "{actions:?}");
    assert_eq!(test.connections(0), 8);
}

/// A tenant is removed while it has established connections and one that is being set up. Its connections
/// must migrate at the configured rate, the oldest first and each only once, without those of other tenants.
/// The migration timer must run until the last one is gone, even if that one is established late.
#[test]
fn connections_of_a_removed_tenant_migrate_at_the_configured_rate() {
    let mut test = GateTest::new("[tenancy]\non = true\nmoves_per_s = 10");
    let established: Vec<_> = (0..8).filter_map(|_| test.connect(0)).collect();
    test.connect(1).expect("the other tenant's client is served");
    let (late_id, actions) = test.receive_request(0);
    let late = (late_id, attempted_server(&actions).expect("an attempt begins"));
    let now = shorewharf_units::micros_from_seconds(test.now);
    test.gate
        .tenants()
        .expect("quotas are enforced")
        .tenancy()
        .remove(now, shorewharf_tenancy::TenantIndex(0));
    // The gate sets its timer when it handles the next event, whatever it is.
    let mut actions = test.handle(Event::TimerFired(UNKNOWN_TIMER));
    let (mut migrated, started_at) = (Vec::new(), test.now);
    loop {
        let timer = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token } if *token == MIGRATION_TIMER => Some(*after),
            _ => None,
        });
        let Some(after) = timer else { break };
        test.now += after;
        actions = test.handle(Event::TimerFired(MIGRATION_TIMER));
        let ids: Vec<RequestId> = actions
            .iter()
            .filter_map(|action| if let Action::Migrate(id) = action { Some(*id) } else { None })
            .collect();
        for id in ids {
            migrated.push(id);
            let connection = established.iter().chain([&late]).find(|connection| connection.0 == id);
            let connection = *connection.expect("only the removed tenant's connections migrate");
            test.end_attempt(connection, Outcome::Cancelled, true);
        }
        if migrated.len() == established.len() {
            // The last connection is established after its tenant's removal, and must migrate as well.
            test.handle(Event::Established { request: late_id, attempt: 0 });
        }
        assert!(test.now < started_at + 5.0, "{} of {} migrated", migrated.len(), established.len());
    }
    let expected: Vec<_> = established.iter().chain([&late]).map(|connection| connection.0).collect();
    assert_eq!(migrated, expected);
    let took = test.now - started_at;
    assert!((0.7..1.3).contains(&took) && test.connections(1) == 1, "{took} s");
}

/// A mistake in the operator's file must be reported with the name of the key. An empty file must give the
/// defaults, and by default no quotas are enforced.
#[test]
fn mistakes_in_the_operators_file_are_reported() {
    for (text, key) in [
        ("[tenancy]\nlent = 0.5", "tenancy"),
        ("[tenancy]\nlend = 3", "tenancy.lend"),
        ("[tenancy]\non = \"yes\"", "tenancy.on"),
        ("[tenancy]\nmoves_per_s = nan", "tenancy.moves_per_s"),
        ("[tenancy", ""),
    ] {
        let error = OperatorSettings::parse(text).expect_err(text).to_string();
        assert!(error.contains(key), "{text}: {error}");
    }
    let mut test = GateTest::new("");
    assert!(test.gate.tenants().is_none());
    assert_eq!((0..40).filter_map(|_| test.connect(0)).count(), 40);
}
