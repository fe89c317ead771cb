//! Hosts instances of the decisions for the simulator, which sends batches of records to standard input and
//! reads the replies from standard output.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use shorewharf_decisions::{Action, Event};
use shorewharf_driver::AdmissionGate;
use shorewharf_logging::LogArgs;
use shorewharf_settings::operator::{OperatorSettings, OperatorSettingsError};
use shorewharf_settings::{ParsedSettings, SettingsError};
use shorewharf_units::micros_from_seconds;
use shorewharf_wire::{Batch, Decoder, Encoder, InstanceRecord, MAX_FRAME_BYTES, Record, WireError};
use thiserror::Error;
use tracing::error;

/// Size of the input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

/// Hosts instances of the decisions for the simulator, on standard input and output
#[derive(Parser)]
#[command(name = "shorewharf-adapter", version)]
struct Cli {
    /// The operator's own file (TOML), in the same format as for the balancer
    #[arg(long, value_name = "FILE", env = "SHOREWHARF_OPERATOR")]
    operator: Option<PathBuf>,
    #[command(flatten)]
    log: LogArgs,
}

/// The reason why the adapter stops with an error.
#[derive(Debug, Error)]
enum AdapterError {
    /// The operator's file can't be read.
    #[error("{}: {source}", path.display())]
    ReadOperatorFile { path: PathBuf, source: io::Error },
    /// The operator's file can't be used.
    #[error("{}: {source}", path.display())]
    InvalidOperatorFile { path: PathBuf, source: Box<OperatorSettingsError> },
    /// The input ends inside a frame. The offset is from the start of its length field or its body.
    #[error("offset {offset}: input ends inside a frame; {missing} more bytes expected")]
    InputEnded { offset: usize, missing: usize },
    /// A frame can't be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Reading the input or writing the output has failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The reason why an instance could not handle a record. It is reported to the simulator, and the adapter
/// goes on.
#[derive(Debug, Error)]
enum InstanceFault {
    /// The settings of the instance can't be parsed.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The code of the instance has panicked.
    #[error("{0}")]
    Panic(String),
}

/// The instances that the adapter hosts, and what they share.
#[derive(Default)]
struct Host {
    operator: OperatorSettings,
    decoder: Decoder,
    instances: BTreeMap<u16, AdmissionGate>,
    /// For each instance, the index of the value in a load report that is the load divided by the capacity.
    load_columns: BTreeMap<u16, usize>,
}

impl Host {
    /// Handles a batch and returns the reply to it.
    fn reply(&mut self, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let load_columns = &self.load_columns;
        let load_column = |id: u16| load_columns.get(&id).copied();
        let Batch { now, records } = self.decoder.decode(body, load_column)?;
        let mut encoder = Encoder::default();
        let mut selected = None;
        let mut actions = Vec::new();
        for InstanceRecord { instance, record } in records {
            actions.clear();
            let fault = self.apply(now, instance, record, &mut actions).err();
            if (fault.is_some() || !actions.is_empty()) && selected != Some(instance) {
                encoder.select_instance(instance);
                selected = Some(instance);
            }
            for action in &actions {
                encoder.action(action);
            }
            if let Some(fault) = fault {
                encoder.fault(&fault.to_string());
            }
        }
        Ok(encoder.finish())
    }

    fn apply(
        &mut self,
        now: f64,
        id: u16,
        record: Record,
        actions: &mut Vec<Action>,
    ) -> Result<(), InstanceFault> {
        let event = match record {
            Record::Shutdown => {
                self.instances.remove(&id);
                return Ok(());
            }
            Record::Attach { seed, settings: text } => {
                let ParsedSettings { settings, load_column } = shorewharf_settings::parse(&text)?;
                let gate = AdmissionGate::new(micros_from_seconds(now), settings, seed, &self.operator);
                self.instances.insert(id, gate);
                match load_column {
                    Some(column) => self.load_columns.insert(id, column),
                    None => self.load_columns.remove(&id),
                };
                Event::Start
            }
            Record::Event(event) => event,
        };
        let Some(instance) = self.instances.get_mut(&id) else { return Ok(()) };
        catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, actions)))
            .map_err(|payload| InstanceFault::Panic(panic_text(payload.as_ref())))
    }
}

fn panic_text(payload: &(dyn std::any::Any + Send)) -> String {
    let owned = payload.downcast_ref::<String>().map(String::as_str);
    owned.or(payload.downcast_ref::<&str>().copied()).unwrap_or("panic").to_owned()
}

/// Fills the buffer from the input. Returns false if the input ends before the first byte.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, AdapterError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => {
                return Err(AdapterError::InputEnded { offset: filled, missing: buffer.len() - filled });
            }
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(true)
}

/// Reads the body of a frame. Memory is allocated as bytes arrive, rather than by the length that the frame
/// claims to have.
fn read_body(input: &mut impl Read, length: usize) -> Result<Vec<u8>, AdapterError> {
    let mut body = Vec::new();
    let count = input.take(length as u64).read_to_end(&mut body)?;
    if count < length {
        return Err(AdapterError::InputEnded { offset: count, missing: length - count });
    }
    Ok(body)
}

fn read_operator_file(path: Option<&Path>) -> Result<OperatorSettings, AdapterError> {
    let Some(path) = path else { return Ok(OperatorSettings::default()) };
    let text = std::fs::read_to_string(path)
        .map_err(|source| AdapterError::ReadOperatorFile { path: path.to_owned(), source })?;
    OperatorSettings::parse(&text)
        .map_err(Box::new)
        .map_err(|source| AdapterError::InvalidOperatorFile { path: path.to_owned(), source })
}

fn serve(operator_path: Option<&Path>) -> Result<(), AdapterError> {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host { operator: read_operator_file(operator_path)?, ..Host::default() };
    let mut length = [0; 4];
    while read_full(&mut input, &mut length)? {
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(WireError::FrameTooLarge { length }.into());
        }
        let body = read_body(&mut input, length)?;
        output.write_all(&host.reply(&body)?)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    cli.log.start();
    // The text of a panic is also reported to the simulator, as a fault. The default hook would print it to
    // standard error in another format than the log.
    std::panic::set_hook(Box::new(|info| error!(event = "panic", text = %info)));
    match serve(cli.operator.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(event = "cannot-run", error = %error);
            ExitCode::FAILURE
        }
    }
}
