//! The gate: who is turned away before the module hears of it, and what admissions are told of the rest.

use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_driver::AdmissionGate;
use shorewharf_settings::operator::Operator;

struct GateTest {
    gate: AdmissionGate,
    now: f64,
    next: u32,
}

fn request(id: u32, tenant: usize, now: f64) -> Request {
    let (class, key, deadline) = (0, u64::from(id), now + 3.0);
    let (load, group, mid_flow, returning) = (None, 0, false, false);
    Request {
        id: RequestId(id),
        class,
        tenant,
        key,
        deadline,
        load,
        group,
        is_mid_flow: mid_flow,
        is_returning: returning,
    }
}

impl GateTest {
    /// Two tenants of ten connections each, at the only balancer of two servers.
    fn new(operator: &str) -> GateTest {
        let text = br#"{"classes":[{"promise_s":0.8,"semantics":"read_like"}],"group_size":1,"tick_s":0.005,
            "tenants":[{"quota_per_s":10},{"quota_per_s":10}],
            "specifics":{"mode":"proxy","message_aim_s":[0.05],"tenant_quota_connections":[10,10]},
            "limits":{"cancel":true,"max_attempts":5,"retry_after":true,"max_retry_after_s":1.5}}"#;
        let set = shorewharf_settings::parse(text).expect("settings").settings;
        let operator = Operator::parse(operator).expect("an operator's file");
        let mut test = GateTest { gate: AdmissionGate::new(0, set, 7, &operator), now: 1.0, next: 0 };
        test.handle(Event::Start);
        let entry = |s| {
            let server = ServerId(s);
            ServerEntry { server, zone: 0, cell: 0, state: ServerState::Ready, weight: 1.0, started_at: 0.0 }
        };
        let entries = vec![entry(1), entry(2)].into();
        test.handle(Event::EndpointList { is_complete: true, is_cached: false, entries });
        test
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gate.handle(self.now, event, &mut out);
        out
    }

    fn receive_request(&mut self, tenant: usize) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request = request(self.next, tenant, self.now);
        (request.id, self.handle(Event::RequestReceived(request)))
    }

    /// A client comes up; where.
    fn connect(&mut self, tenant: usize) -> Option<(RequestId, ServerId)> {
        let (request, actions) = self.receive_request(tenant);
        let server = actions.iter().find_map(|a| match a {
            Action::BeginAttempt { server, .. } => Some(*server),
            _ => None,
        })?;
        self.handle(Event::Established { request, attempt: 0 });
        Some((request, server))
    }

    fn end_attempt(
        &mut self,
        (request, server): (RequestId, ServerId),
        outcome: Outcome,
        complete: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request,
            server,
            attempt: 0,
            outcome,
            is_answered: complete,
            load_ratio: None,
        })
    }

    fn used(&mut self, tenant: usize) -> u64 {
        let now = shorewharf_units::micros_from_seconds(self.now);
        self.gate.tenants().expect("shares are kept").tenancy().stats(now).tenants[tenant].1.connections
    }
}

/// Failure: a tenant asks for far more than its share. Promise: the first is refused at once, with a wait, and the
/// module arms no timer for it; the other tenant is served; and every way in which a request can end gives its place
/// back exactly once.
#[test]
fn every_end_gives_a_place_back_once() {
    let mut test = GateTest::new("[tenancy]\non = true");
    let up: Vec<_> = (0..40).filter_map(|_| test.connect(0)).collect();
    // Its own ten; nothing is lent beyond 0.4 of twenty.
    assert_eq!((up.len(), test.used(0)), (10, 10));
    let (id, actions) = test.receive_request(0);
    let [Action::Reject { request, retry_after }] = actions[..] else { panic!("{actions:?}") };
    assert!(request == id && retry_after > 0.0 && retry_after <= 1.5, "{retry_after}");
    assert_eq!(test.gate.rejections().get("tenant-connections"), Some(&31));
    assert!(test.connect(1).is_some());
    test.now += 10.0;
    let told = test.receive_request(0).1;
    let line = "turned away since the last line: tenant 0 tenant-connections 32";
    assert!(told.contains(&Action::Log(line.to_owned())), "{told:?}");

    // Served to its end; broken; told twice.
    test.end_attempt(up[0], Outcome::Ok, true);
    test.end_attempt(up[1], Outcome::Reset, true);
    test.end_attempt(up[1], Outcome::Reset, true);
    assert_eq!(test.used(0), 8);
    // A client that leaves while its attempt is out gives its place back when that has ended.
    let (id, sent) = test.receive_request(0);
    let Some(Action::BeginAttempt { server, .. }) =
        sent.iter().find(|a| matches!(a, Action::BeginAttempt { .. }))
    else {
        panic!("{sent:?}")
    };
    test.handle(Event::ClientLeft(id));
    assert_eq!(test.used(0), 9);
    test.end_attempt((id, *server), Outcome::Cancelled, true);
    assert_eq!(test.used(0), 8);
    // One that all servers turn away is refused by the module.
    let (id, mut actions) = test.receive_request(0);
    let mut attempt = 0;
    while let Some(Action::BeginAttempt { server, .. }) =
        actions.iter().find(|a| matches!(a, Action::BeginAttempt { .. }))
    {
        let (server, outcome, complete) = (*server, Outcome::Rejected, false);
        let ended = Event::AttemptEnded {
            request: id,
            server,
            attempt,
            outcome,
            is_answered: complete,
            load_ratio: None,
        };
        actions = test.handle(ended);
        attempt += 1;
        if actions.iter().any(|a| matches!(a, Action::SetTimer { .. })) && !sends(&actions) {
            // Held until its deadline's timer, as no server is left.
            test.now += 3.0;
            actions = test.handle(Event::TimerFired(4 << 40 | u64::from(id.0)));
        }
    }
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { .. })), "{actions:?}");
    assert_eq!(test.used(0), 8);
}

fn sends(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::BeginAttempt { .. }))
}

/// Failure: a tenant is removed while its streams stand and one of its clients is being set up. Promise: its standing
/// streams are moved at the rate, oldest first, each once and nobody else's; the timer goes on until the last is gone.
#[test]
fn a_removed_tenants_streams_are_moved_at_a_rate() {
    let mut test = GateTest::new("[tenancy]\non = true\nmoves_per_s = 10");
    let up: Vec<_> = (0..8).filter_map(|_| test.connect(0)).collect();
    test.connect(1).expect("served");
    let (waits, sent) = test.receive_request(0);
    let server = sent
        .iter()
        .find_map(|a| if let Action::BeginAttempt { server, .. } = a { Some(*server) } else { None });
    let late = (waits, server.expect("sent"));
    let now = shorewharf_units::micros_from_seconds(test.now);
    test.gate.tenants().expect("kept").tenancy().remove(now, shorewharf_tenancy::TenantIndex(0));
    // Any event sets the timer.
    let mut actions = test.handle(Event::TimerFired(77));
    let (mut moved, began) = (Vec::new(), test.now);
    loop {
        let timer = actions.iter().find_map(|a| match a {
            Action::SetTimer { after, token } if *token == 1 << 63 => Some(*after),
            _ => None,
        });
        let Some(after) = timer else { break };
        test.now += after;
        actions = test.handle(Event::TimerFired(1 << 63));
        let ids: Vec<RequestId> = actions
            .iter()
            .filter_map(|a| if let Action::Migrate(id) = a { Some(*id) } else { None })
            .collect();
        for id in ids {
            moved.push(id);
            let on = *up.iter().chain([&late]).find(|u| u.0 == id).expect("it stands, and is the tenant's");
            test.end_attempt(on, Outcome::Cancelled, true);
        }
        if moved.len() == up.len() {
            // It comes up though its tenant is gone, and goes as the others went.
            test.handle(Event::Established { request: waits, attempt: 0 });
        }
        assert!(test.now < began + 5.0, "{} of {} moved", moved.len(), up.len());
    }
    assert_eq!(moved, up.iter().chain([&late]).map(|u| u.0).collect::<Vec<_>>());
    assert!((0.7..1.3).contains(&(test.now - began)) && test.used(1) == 1, "{} s", test.now - began);
}

/// Failure: an operator's file with a slip of the pen. Promise: it is refused with the key's name; what is left out has
/// its default, and by default nothing stands before the module.
#[test]
fn the_operators_file_is_checked() {
    for (text, key) in [
        ("[tenancy]\nlent = 0.5", "tenancy"),
        ("[tenancy]\nlend = 3", "tenancy.lend"),
        ("[tenancy]\non = \"yes\"", "tenancy.on"),
        ("[tenancy]\nmoves_per_s = nan", "tenancy.moves_per_s"),
        ("[tenancy", ""),
    ] {
        let error = Operator::parse(text).expect_err(text).to_string();
        assert!(error.contains(key), "{text}: {error}");
    }
    let mut test = GateTest::new("");
    assert!(test.gate.tenants().is_none());
    assert_eq!((0..40).filter_map(|_| test.connect(0)).count(), 40);
}
