//! Generates the Rust code of the schema: `cargo run -p schema-gen`.
//!
//! The output is committed, so the build does not run this program. `--check` compares the output
//! with the committed code instead of writing it, for CI.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::Context;
use argh::FromArgs;

const PACKAGES: [&str; 6] = ["release", "log", "peer", "observe", "settings", "gossip"];

/// Enum fields that are written as words in JSON and TOML: field path and serde module in `words`.
const WORD_FIELDS: [(&str, &str); 2] = [
    (".release.Policy.objective", "crate::words::objective"),
    (".release.Service.kind", "crate::words::service_kind"),
];

/// generate the schema's Rust code
#[derive(FromArgs)]
struct Arguments {
    /// compare with the committed code instead of writing it; fails if they differ
    #[argh(switch)]
    check: bool,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let schema_dir = PathBuf::from("rhubarbrock-schema");
    let committed_dir = schema_dir.join("src/generated");
    let out_dir = std::env::temp_dir().join(format!("rhubarbrock-schema-{}", std::process::id()));
    fs::create_dir_all(&out_dir)?;
    generate(&schema_dir.join("proto"), &out_dir)?;
    let outcome = if arguments.check {
        compare(&out_dir, &committed_dir)
    } else {
        copy(&out_dir, &committed_dir)
    };
    fs::remove_dir_all(&out_dir)?;
    outcome
}

fn generate(proto_dir: &Path, out_dir: &Path) -> anyhow::Result<()> {
    let files: Vec<PathBuf> =
        PACKAGES.iter().map(|package| proto_dir.join(format!("{package}.proto"))).collect();
    let descriptors = protox::compile(&files, [proto_dir])?;
    let mut config = prost_build::Config::new();
    config.out_dir(out_dir);
    config.message_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]");
    config.message_attribute(".", "#[serde(default, deny_unknown_fields)]");
    config.enum_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]");
    config.message_attribute(".settings.Settings", "#[derive(argh::FromArgs)]");
    config.field_attribute(".settings.Settings", "#[argh(option)]");
    for (field, module) in WORD_FIELDS {
        config.field_attribute(field, format!("#[serde(with = \"{module}\")]"));
    }
    config.compile_fds(descriptors)?;
    Ok(())
}

fn copy(from_dir: &Path, to_dir: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(to_dir)?;
    for package in PACKAGES {
        let name = format!("{package}.rs");
        fs::copy(from_dir.join(&name), to_dir.join(&name)).with_context(|| name)?;
    }
    Ok(())
}

fn compare(generated_dir: &Path, committed_dir: &Path) -> anyhow::Result<()> {
    for package in PACKAGES {
        let name = format!("{package}.rs");
        let generated = fs::read_to_string(generated_dir.join(&name))?;
        let committed =
            fs::read_to_string(committed_dir.join(&name)).with_context(|| name.clone())?;
        anyhow::ensure!(
            generated == committed,
            "{name} does not match the schema: run cargo run -p schema-gen"
        );
    }
    Ok(())
}
