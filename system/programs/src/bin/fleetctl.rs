//! Staff ask the running system.

use bpaf::Bpaf;
use node_settings::Settings;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use system_programs::admin::commands::command;
use system_programs::admin::{Command, Fleet, Verdict, execute};
use system_programs::process::fleet_number;

/// Asks the running system; each process answers from its own memory, also when the core is cut off.
///
/// Exit codes: 0 nothing wrong, 1 something is, 2 not understood, 3 nobody answered.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
#[allow(clippy::doc_markdown, reason = "the comments are the help text")]
struct Options {
    /// Ask this process to begin with, at its port for peers; may be given several times
    #[bpaf(argument("IP:PORT"))]
    at: Vec<SocketAddrV4>,
    /// The settings file of any process of the fleet; otherwise what SEDGEWOOD_BOOT names
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// The fleet's number, where there is no settings file here
    #[bpaf(argument("NUMBER"), optional)]
    fleet: Option<u16>,
    /// For programs: one JSON value
    json: bool,
    #[bpaf(external)]
    command: Command,
}

/// The ports of a machine for staff come so long after that for peers.
const ADMIN_PORT_OFFSET: u16 = 3;

fn fleet(options: &Options) -> Result<Fleet, String> {
    let settings_path =
        options.settings.clone().or_else(|| std::env::var_os("SEDGEWOOD_BOOT").map(PathBuf::from));
    let path = settings_path.unwrap_or_else(|| PathBuf::from("/etc/sedgewood/node.yaml"));
    if let (Some(number), false) = (options.fleet, options.at.is_empty()) {
        return Ok(Fleet { number, entries: options.at.clone(), admin_port_offset: ADMIN_PORT_OFFSET });
    }
    let settings = Settings::read(Path::new(&path)).map_err(|e| e.to_string())?;
    let port = settings.peer_port();
    let mut entries = options.at.clone();
    if entries.is_empty() {
        let ips = settings.seed_nodes.iter().map(|seed| *seed.ip()).chain([settings.ip_address]);
        entries.extend(ips.map(|ip| SocketAddrV4::new(ip, port)));
        entries.sort();
        entries.dedup();
    }
    Ok(Fleet {
        number: options.fleet.unwrap_or_else(|| fleet_number(&settings)),
        entries,
        admin_port_offset: settings.admin_port() - port,
    })
}

fn main() -> ExitCode {
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    // What is read from a file only needs nobody.
    let local = matches!(&options.command, Command::Config(config) if config.is_local());
    let fleet = match fleet(&options) {
        Ok(fleet) => fleet,
        Err(_) if local => Fleet { number: 0, entries: Vec::new(), admin_port_offset: ADMIN_PORT_OFFSET },
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let local = tokio::task::LocalSet::new();
    let report = local.block_on(&runtime, execute(&fleet, &options.command));
    if report.verdict == Verdict::NoAnswer {
        eprintln!("nobody answered");
    } else if options.json {
        println!("{}", report.json);
    } else {
        print!("{}", report.text);
    }
    ExitCode::from(report.verdict.exit_code())
}
