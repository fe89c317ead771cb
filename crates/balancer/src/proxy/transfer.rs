//! Transfers established connections to another process of this balancer, and adopts connections from one.

use std::collections::HashMap;

use shorewharf_decisions::interface::{Outcome, Request, RequestId, ServerId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_lifecycle::{Answer, Cause};

use crate::clients::session::{Session, TransferredSession};
use crate::event_loop::context::LoopContext;
use crate::handover::messages::{EstablishedConnection, TransferredConnection};
use crate::proxy::Proxy;
use crate::servers::attempt::Attempt;
use crate::transport::connection::Connection;

/// Returns the name with this index, or an empty string if there is none.
fn name_of(names: &HashMap<String, usize>, index: usize) -> String {
    names.iter().find(|(_, at)| **at == index).map_or_else(String::new, |(name, _)| name.clone())
}

impl Proxy {
    /// Returns the requests whose established connections can be transferred to another process.
    pub fn transferable_connections(&self) -> Vec<RequestId> {
        let mut ids = self.sessions.ids_where(Session::is_transferable);
        ids.retain(|id| self.attempts.get(*id).is_some_and(Attempt::is_transferable));
        ids
    }

    /// Removes a connection from this process for a transfer, together with the request and the reported load
    /// that the decisions have stored for it. The driver is told that its attempt has ended.
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
            class: name_of(&self.settings.names.classes, request.class),
            tenant: name_of(&self.settings.names.tenants, request.tenant),
            key: request.key,
            group: request.group,
            load_hint: request.load,
            load,
            unanswered_since: session.unanswered_since(),
            client_buffers: session.connection.buffered(),
            server_buffers: attempt.connection.buffered(),
        };
        // Closing the descriptor is not enough: epoll watches the open socket, which the other process keeps
        // open.
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

    /// Adopts a connection that another process has transferred, or one whose own transfer has failed.
    /// Returns false if it can't be adopted.
    pub fn adopt_transferred(
        &mut self,
        context: &mut LoopContext,
        connection: TransferredConnection,
    ) -> bool {
        let TransferredConnection { state, client, server } = connection;
        let client = Connection::resume(client, &context.buffers, &state.client_buffers);
        let server = Connection::resume(server, &context.buffers, &state.server_buffers);
        let (Some(client), Some(server)) = (client, server) else { return false };
        let is_at_line_boundary = client.is_at_line_boundary();
        let transferred = TransferredSession {
            client_address: state.client,
            open_id: state.open_id,
            unanswered_since: state.unanswered_since,
        };
        let attempts = &self.attempts;
        let adopted = self.sessions.adopt(context, client, &transferred, |id| attempts.has(id));
        let Some(id) = adopted else { return false };
        let server_id = ServerId(state.server);
        let class = self.settings.names.classes.get(&state.class).copied();
        // If possible, the client is asked to migrate instead of having its connection cut.
        let Some(class) = class.filter(|_| self.attempts.adopt(context, id, server_id, server)) else {
            let answer = if is_at_line_boundary { Answer::Migrated } else { Answer::Closed };
            self.answer(context, id, answer, Cause::Handover);
            return false;
        };
        let request = ReceivedRequest {
            id,
            class,
            tenant: self.settings.names.tenants.get(&state.tenant).copied().unwrap_or(0),
            key: state.key,
            deadline: context.now,
            load: state.load_hint,
            group: state.group,
            is_returning: false,
        };
        context.emit(NetworkEvent::ConnectionRestored(request, server_id));
        if let Some(load) = state.load.filter(|load| load.is_finite() && *load > 0.0) {
            context.emit(NetworkEvent::LoadReported(id, load));
        }
        self.relay(context, id);
        true
    }
}
