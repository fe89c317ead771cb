//! Transfers established connections to another process of this balancer, and adopts connections from one.

use std::collections::HashMap;

use shorewharf_decisions::interface::{Idempotency, Outcome, Request, RequestId, ServerId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_protocol::message::Message;
use thiserror::Error;

use crate::clients::session::{Session, SessionStage, TransferredSession};
use crate::event_loop::context::LoopContext;
use crate::handover::messages::{EstablishedConnection, TransferredConnection};
use crate::proxy::Proxy;
use crate::servers::attempt::Attempt;
use crate::transport::connection::Connection;

/// The reason why a transferred connection can't be adopted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TransferError {
    /// The buffered bytes don't fit the buffers, or are inconsistent.
    #[error("its buffered bytes don't fit the buffers or are inconsistent")]
    InvalidBuffers,
    /// The configuration has no class of this name.
    #[error("its class is not in the configuration")]
    UnknownClass,
    /// One of its two ends can't be registered with poll.
    #[error("one of its ends can't be registered with the poller")]
    NotRegistered,
}

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
        let (session, attempt) =
            (self.sessions.take_for_transfer(context, id)?, self.attempts.take(context, id)?);
        context.emit(NetworkEvent::AttemptEnded(id, Outcome::Cancelled));
        let (client, server) = (session.connection.into_stream(), attempt.connection.into_stream());
        Some(TransferredConnection { state, client, server })
    }

    /// Adopts a connection that another process has transferred, or one whose own transfer has failed. Its open id has been
    /// claimed.
    ///
    /// # Errors
    /// Returns the reason if the connection can't be adopted. Its client is then told to migrate, unless a line is only partly
    /// forwarded to it, and its open id is released.
    pub fn adopt_transferred(
        &mut self,
        context: &mut LoopContext,
        connection: TransferredConnection,
    ) -> Result<(), TransferError> {
        let TransferredConnection { state, client, server } = connection;
        let (client, are_client_bytes_lost) =
            into_connection(Connection::resume(client, &context.buffers, &state.client_buffers));
        let (server, are_server_bytes_lost) =
            into_connection(Connection::resume(server, &context.buffers, &state.server_buffers));
        let is_at_line_boundary = client.is_at_line_boundary();
        let id = self.adopt_session(context, client, &state)?;
        let adopted = if are_client_bytes_lost || are_server_bytes_lost {
            Err(TransferError::InvalidBuffers)
        } else {
            self.adopt_attempt(context, id, server, &state)
        };
        if let Err(error) = adopted {
            let answer = if is_at_line_boundary { Answer::Migrated } else { Answer::Closed };
            self.answer(context, id, answer, Cause::Handover);
            return Err(error);
        }
        self.relay(context, id);
        Ok(())
    }

    /// Adds the attempt of a transferred connection, and reports the connection to the driver.
    fn adopt_attempt(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        server: Connection,
        state: &EstablishedConnection,
    ) -> Result<(), TransferError> {
        let class =
            self.settings.names.classes.get(&state.class).copied().ok_or(TransferError::UnknownClass)?;
        let server_id = ServerId(state.server);
        if !self.attempts.adopt(context, id, server_id, server) {
            return Err(TransferError::NotRegistered);
        }
        if self.settings.idempotency_of(class) != Idempotency::Idempotent
            && let Some(session) = self.sessions.get_mut(id)
        {
            // The request has run in the other process.
            session.retain_id();
        }
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
        Ok(())
    }

    /// Adds the session of a transferred connection.
    fn adopt_session(
        &mut self,
        context: &mut LoopContext,
        client: Connection,
        state: &EstablishedConnection,
    ) -> Result<RequestId, TransferError> {
        let transferred = TransferredSession {
            client_address: state.client,
            open_id: state.open_id,
            unanswered_since: state.unanswered_since,
        };
        let attempts = &self.attempts;
        let adopted = self.sessions.adopt(context, client, &transferred, |id| attempts.has(id));
        adopted.map_err(|mut client| {
            self.sessions.release_transferred(state.open_id);
            // The connection can't be watched, so nothing but this one attempt to write is possible.
            if client.is_at_line_boundary() {
                client.send(&context.buffers, Message::Migrate.to_string().as_bytes());
                client.shutdown_write();
            }
            TransferError::NotRegistered
        })
    }

    /// Ends this process's own requests with an id that a transferred connection has. Established ones are asked to migrate,
    /// since they must not be cut off.
    pub fn end_duplicates(&mut self, context: &mut LoopContext, open_id: u64) {
        for id in self.sessions.ids_where(|session| session.open_id() == Some(open_id)) {
            match self.sessions.get(id).map(Session::stage) {
                Some(SessionStage::AwaitingAnswer) => {
                    self.reject_duplicate(context, id, open_id);
                }
                Some(SessionStage::Established) => self.migrate(context, id),
                _ => {}
            }
        }
    }
}

/// Returns the connection, and whether its buffered bytes are lost.
fn into_connection(resumed: Result<Connection, Box<Connection>>) -> (Connection, bool) {
    match resumed {
        Ok(connection) => (connection, false),
        Err(connection) => (*connection, true),
    }
}
