//! Established connections that go on in another process of this balancer, and those that come from one.

use shorewharf_decisions::interface::{Outcome, Request, RequestId, ServerId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_lifecycle::{Answer, Cause};

use crate::clients::session::Session;
use crate::event_loop::context::LoopContext;
use crate::handover::messages::{EstablishedConnection, TransferredConnection};
use crate::proxy::Proxy;
use crate::servers::attempts::Attempt;
use crate::transport::connection::Connection;

/// The name that stands at this place.
fn name(names: &std::collections::HashMap<String, usize>, place: usize) -> String {
    names.iter().find(|(_, at)| **at == place).map_or_else(String::new, |(name, _)| name.clone())
}

impl Proxy {
    /// Established connections that can go on in another process.
    pub fn transferable_connections(&self) -> Vec<RequestId> {
        let mut can = self.sessions.ids_where(Session::is_transferable);
        can.retain(|id| self.attempts.get(*id).is_some_and(Attempt::is_transferable));
        can
    }

    /// Takes one of them out of this process, with what the module has of it, as it is to go on in another one. What the
    /// module had there has ended for it.
    pub fn detach_for_transfer(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        (request, load): (Request, Option<f64>),
    ) -> Option<TransferredConnection> {
        let (session, attempt) = (self.sessions.get_mut(id)?, self.attempts.get_mut(id)?);
        let state = EstablishedConnection {
            client: session.client_address(),
            server: attempt.server().0,
            open_id: session.open_id()?,
            class: name(&self.settings.names.classes, request.class),
            tenant: name(&self.settings.names.tenants, request.tenant),
            key: request.key,
            group: request.group,
            load_hint: request.load,
            load,
            unanswered_since: session.unanswered_since(),
            client_buffers: session.connection.buffered(),
            server_buffers: attempt.connection.buffered(),
        };
        // What is watched is the connection, which goes on, and not this process's descriptor of it.
        context.registry.deregister(&mut session.connection);
        context.registry.deregister(&mut attempt.connection);
        if let Err(violation) = self.guard.close(id) {
            self.report_violation(&violation, Cause::Handover);
        }
        let (session, attempt) = (self.sessions.take(context, id)?, self.attempts.take(context, id)?);
        context.emit(NetworkEvent::AttemptEnded(id, Outcome::Cancelled));
        let (client, server) = (session.connection.into_stream(), attempt.connection.into_stream());
        Some(TransferredConnection { state, client, server })
    }

    /// Takes in a connection that stood in another process, or is back from one; false where it could not be.
    pub fn adopt_transferred(
        &mut self,
        context: &mut LoopContext,
        connection: TransferredConnection,
    ) -> bool {
        let TransferredConnection { state, client, server } = connection;
        let names = &self.settings.names;
        let class = names.classes.get(&state.class).copied();
        let tenant = names.tenants.get(&state.tenant).copied().unwrap_or(0);
        let (attempts, asked) = (&self.attempts, state.unanswered_since);
        let client = Connection::resume(client, &context.buffers, &state.client_buffers);
        let server = Connection::resume(server, &context.buffers, &state.server_buffers);
        let (Some(client), Some(server)) = (client, server) else { return false };
        let between_lines = client.is_at_line_boundary();
        let adopted =
            self.sessions.adopt(context, client, state.client, (state.open_id, asked), |id| attempts.has(id));
        let Some(id) = adopted else { return false };
        let at = ServerId(state.server);
        // Its server still answers: whoever can't go on here is told to come again, and not cut off.
        let Some(class) = class.filter(|_| self.attempts.adopt(context, id, at, server)) else {
            let answer = if between_lines { Answer::Migrated } else { Answer::Closed };
            self.answer(context, id, answer, Cause::Handover);
            return false;
        };
        let (key, group, load) = (state.key, state.group, state.load_hint);
        let req = ReceivedRequest {
            id,
            class,
            tenant,
            key,
            deadline: context.now,
            load,
            group,
            is_returning: false,
        };
        context.emit(NetworkEvent::ConnectionRestored(req, at));
        if let Some(load) = state.load.filter(|load| load.is_finite() && *load > 0.0) {
            context.emit(NetworkEvent::LoadReported(id, load));
        }
        self.relay(context, id);
        true
    }
}
