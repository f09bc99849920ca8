//! A small deployment: a store with a configuration, and daemons with an instance each.

use crate::daemon::{Daemon, Spec, wait_for};
use crate::instance::{Instance, is_ready};
use crate::record::Record;
use crate::store::Store;
use std::path::PathBuf;
use std::time::Duration;

/// `stable_window_s` of the sheets.
pub const STABLE_WINDOW_S: f64 = 4.0;

pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub aim_s: f64,
}

pub struct Site {
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub instances: Vec<Instance>,
    dir: PathBuf,
}

/// The configuration as the operator writes it.
pub fn config(version: u64, routes: &[Route], idle_timeout_s: f64) -> String {
    let mut items = Vec::new();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    for (index, route) in routes.iter().enumerate() {
        items.push(format!(
            r#"{{"type_url":"routes","metadata":{{"name":"r{index}"}},"spec":{{"host":"desk.example","path_prefix":"{}","kind":"{}","timeout_s":{},"target_latency_s":{},"priority":{index},"service":"{}","max_attempts":2}}}}"#,
            route.prefix, route.kind, route.timeout_s, route.aim_s, route.service
        ));
    }
    for service in services {
        items.push(format!(
            r#"{{"type_url":"services","metadata":{{"name":"{service}"}},"spec":{{"health_path":"/health","max_connections":410,"protocol":"h1","tls":false}}}}"#
        ));
    }
    items.push(format!(
        r#"{{"type_url":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":16777216,"header_timeout_s":5,"idle_timeout_s":{idle_timeout_s}}}}}"#
    ));
    format!(r#"{{"version":{version},"resources":[{}]}}"#, items.join(","))
}

impl Site {
    /// Starts the daemons with the instances `i-NAME`. `None` if they are not ready in time.
    pub fn start(store: Store, specs: Vec<Spec>, routes: &[Route], record: &Record) -> Option<Self> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        store.publish(&config(1, routes, 30.0));
        let mut site = Self { store, daemons: Vec::new(), instances: Vec::new(), dir };
        for spec in specs {
            site.instances.push(Instance::start(&format!("i-{}", spec.name), &spec, record));
            site.daemons.push(Daemon::start(spec, &site.dir));
        }
        let addrs: Vec<_> = site.daemons.iter().map(|daemon| daemon.spec.ready_addr).collect();
        let ready = wait_for(15.0, || addrs.iter().all(|addr| is_ready(*addr)));
        record.say(format!("{} daemons ready: {ready}", addrs.len()));
        if !ready {
            return None;
        }
        // The next heartbeats, then a calm time, after which all machines are in touch.
        std::thread::sleep(Duration::from_secs_f64(1.5 + STABLE_WINDOW_S));
        Some(site)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(&self.dir).ok();
        } else {
            println!("{}", self.dir.display());
        }
    }
}
