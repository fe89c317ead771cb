//! Standing connections that go on in another process of this balancer, and those that come from one.

use shorewharf_decisions::interface::{Outcome, Request, RequestId, ServerId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_lifecycle::{Answer, Cause};

use crate::clients::session::Session;
use crate::event_loop::iteration::LoopContext;
use crate::handover::messages::{EstablishedConnection, TransferredConnection};
use crate::proxy::Proxy;
use crate::servers::attempts::Attempt;
use crate::transport::connection::Connection;

/// The name that stands at this place.
fn name(names: &std::collections::HashMap<String, usize>, place: usize) -> String {
    names.iter().find(|(_, at)| **at == place).map_or_else(String::new, |(name, _)| name.clone())
}

impl Proxy {
    /// Standing connections that can go on in another process.
    pub fn can_go(&self) -> Vec<RequestId> {
        let mut can = self.sessions.those(Session::can_go);
        can.retain(|id| self.attempts.get(*id).is_some_and(Attempt::can_go));
        can
    }

    /// Takes one of them out of this process, with what the module has of it, as it is to go on in another one. What the
    /// module had there has ended for it.
    pub fn goes(
        &mut self,
        turn: &mut LoopContext,
        id: RequestId,
        (request, load): (Request, Option<f64>),
    ) -> Option<TransferredConnection> {
        let (s, f) = (self.sessions.get_mut(id)?, self.attempts.get_mut(id)?);
        let standing = EstablishedConnection {
            client: s.from(),
            server: f.server().0,
            open_id: s.open_id()?,
            class: name(&self.terms.names.classes, request.class),
            tenant: name(&self.terms.names.tenants, request.tenant),
            key: request.key,
            group: request.group,
            load_hint: request.load,
            load,
            unanswered_since: s.asked_since(),
            client_buffers: s.link.on_the_way(),
            server_buffers: f.link.on_the_way(),
        };
        // What is watched is the connection, which goes on, and not this process's descriptor of it.
        turn.poller.unwatch(&mut s.link);
        turn.poller.unwatch(&mut f.link);
        if let Err(violation) = self.guard.close(id) {
            self.report_violation(&violation, Cause::Handover);
        }
        let (s, f) = (self.sessions.take(turn, id)?, self.attempts.take(turn, id)?);
        turn.emit(NetworkEvent::AttemptEnded(id, Outcome::Cancelled));
        let (client, server) = (s.link.into_stream(), f.link.into_stream());
        Some(TransferredConnection { state: standing, client, server })
    }

    /// Takes in a connection that stood in another process, or is back from one; false where it could not be.
    pub fn take_over(&mut self, turn: &mut LoopContext, connection: TransferredConnection) -> bool {
        let TransferredConnection { state: standing, client, server } = connection;
        let names = &self.terms.names;
        let class = names.classes.get(&standing.class).copied();
        let tenant = names.tenants.get(&standing.tenant).copied().unwrap_or(0);
        let (attempts, asked) = (&self.attempts, standing.unanswered_since);
        let client = Connection::going_on(client, &turn.pool, &standing.client_buffers);
        let server = Connection::going_on(server, &turn.pool, &standing.server_buffers);
        let (Some(client), Some(server)) = (client, server) else { return false };
        let between_lines = client.between_lines();
        let adopted = self
            .sessions
            .adopt(turn, client, standing.client, (standing.open_id, asked), |id| attempts.has(id));
        let Some(id) = adopted else { return false };
        let at = ServerId(standing.server);
        // Its server still answers: whoever can't go on here is told to come again, and not cut off.
        let Some(class) = class.filter(|_| self.attempts.adopt(turn, id, at, server)) else {
            let answer = if between_lines { Answer::Moved } else { Answer::Closed };
            self.answer(turn, id, answer, Cause::Handover);
            return false;
        };
        let (key, group, load) = (standing.key, standing.group, standing.load_hint);
        let req =
            ReceivedRequest { id, class, tenant, key, deadline: turn.now, load, group, is_returning: false };
        turn.emit(NetworkEvent::ConnectionRestored(req, at));
        if let Some(load) = standing.load.filter(|load| load.is_finite() && *load > 0.0) {
            turn.emit(NetworkEvent::LoadReported(id, load));
        }
        self.relay(turn, id);
        true
    }
}
