//! Table files with client accounts or public routes, which our own deployment does not have.

use pomeloreach_standins::fleet::binary_path;
use std::process::Command;

const ROUTE: &str = "routes:\n  r:\n    host: shop.example\n    pool: p\n";
const POOLS: &str = "pools:\n  p:\n    service: desk\n";

/// Guards against an operator who believes that keys are needed, or not needed, because a command
/// accepted a file that says so. The file is refused before a daemon is contacted.
#[yare::parameterized(
    accounts = { "accounts:\n  acme:\n    keys: [\"k1\"]\n", "these tables have no client accounts" },
    public_route = { "    public: true\n", "route 'r': public must not be true" },
)]
fn refused_file(added: &str, reason: &str) {
    let dir = std::env::temp_dir().join(format!(
        "pomeloreach-accounts-{}-{}",
        std::process::id(),
        added.len()
    ));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("tables.yaml");
    std::fs::write(&path, format!("{POOLS}{ROUTE}{added}")).unwrap();
    for command in ["check", "diff", "apply"] {
        let output = Command::new(binary_path("pomeloreach"))
            .args(["-d", "127.0.0.1:9", command])
            .arg(&path)
            .output()
            .expect("the operators' command line starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{command}: {text}");
        assert!(text.contains(reason), "{command}: {text}");
        assert!(!text.contains("k1"), "{command} shows a key: {text}");
    }
    std::fs::write(&path, format!("{POOLS}{ROUTE}    public: false\n")).unwrap();
    let output = Command::new(binary_path("pomeloreach")).arg("check").arg(&path).output().unwrap();
    assert!(output.status.success(), "the same file without them is valid: {output:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}
