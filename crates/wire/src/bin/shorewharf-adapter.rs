//! Hosts instances of the module on standard input and output.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use shorewharf_decisions::{Action, Event};
use shorewharf_driver::AdmissionGate;
use shorewharf_logging::LogArgs;
use shorewharf_settings::operator::Operator;
use shorewharf_settings::settings;
use shorewharf_units::micros_from_seconds;
use shorewharf_wire::{Decoder, Encoder, MAX_FRAME, Record, WireError};
use tracing::error;

/// Hosts instances of the decision module on the simulator's wire, on standard input and output
#[derive(Parser)]
#[command(name = "shorewharf-adapter", version)]
struct Cli {
    /// The operator's own file (TOML), as the balancer takes it
    #[arg(long, value_name = "FILE", env = "SHOREWHARF_OPERATOR")]
    operator: Option<PathBuf>,
    #[command(flatten)]
    log: LogArgs,
}

#[derive(Default)]
struct Host {
    operator: Operator,
    decoder: Decoder,
    balancers: BTreeMap<u16, AdmissionGate>,
    columns: BTreeMap<u16, Option<usize>>,
}

impl Host {
    fn reply(&mut self, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let columns = &self.columns;
        let batch = self.decoder.batch(body, |i| columns.get(&i).copied().flatten())?;
        let mut out = Encoder::default();
        let (mut current, mut actions) = (None, Vec::new());
        for (i, record) in batch.records {
            actions.clear();
            let fault = self.apply(batch.now, i, record, &mut actions).err();
            if (fault.is_some() || !actions.is_empty()) && current != Some(i) {
                out.instance(i);
                current = Some(i);
            }
            actions.iter().for_each(|a| out.action(a));
            if let Some(reason) = fault {
                out.fault(&reason);
            }
        }
        Ok(out.finish())
    }

    fn apply(&mut self, now: f64, i: u16, record: Record, out: &mut Vec<Action>) -> Result<(), String> {
        let event = match record {
            Record::Shutdown => {
                self.balancers.remove(&i);
                return Ok(());
            }
            Record::Attach(seed, text) => {
                let (set, column) = settings(&text).map_err(|e| e.to_string())?;
                self.columns.insert(i, column);
                let gate = AdmissionGate::new(micros_from_seconds(now), set, seed, &self.operator);
                self.balancers.insert(i, gate);
                Event::Start
            }
            Record::Event(event) => event,
        };
        let Some(balancer) = self.balancers.get_mut(&i) else { return Ok(()) };
        catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, out))).map_err(|panic| {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_owned()
        })
    }
}

/// Fills `buf` from the input; false at a clean end before the first byte.
fn fill(input: &mut impl Read, buf: &mut [u8]) -> io::Result<bool> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => {
                let text =
                    format!("offset {got}: input ends inside a frame, {} more bytes wanted", buf.len() - got);
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
            }
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

/// Reads a body in pieces, so that a false length does not allocate.
fn read_body(input: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let got = input.take(length as u64).read_to_end(&mut body)?;
    if got < length {
        let text = format!("offset {got}: input ends inside a frame, {} more bytes wanted", length - got);
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
    }
    Ok(body)
}

fn operator(path: Option<&Path>) -> Result<Operator, Box<dyn std::error::Error>> {
    let Some(path) = path else { return Ok(Operator::default()) };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Operator::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?)
}

fn serve(path: Option<&Path>) -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host { operator: operator(path)?, ..Host::default() };
    let mut length = [0; 4];
    while fill(&mut input, &mut length)? {
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME {
            return Err(WireError::Oversize(length).into());
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
    // The panic's text goes out as a fault; the default hook would print it a second time.
    std::panic::set_hook(Box::new(|info| error!(event = "panic", text = %info)));
    match serve(cli.operator.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(event = "cannot-run", error = %e);
            ExitCode::FAILURE
        }
    }
}
