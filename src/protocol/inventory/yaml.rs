//! Decodes Ansible inventories in YAML: groups with hosts, vars and children.

use super::{Field, Fields, InventoryFault, Row};
use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Keys that a group may have.
const GROUP_KEYS: [&str; 3] = ["hosts", "vars", "children"];

/// Decodes the hosts of a file, sorted by name.
///
/// # Errors
///
/// Returns a fault for the first malformed part of the file.
pub fn decode_rows(text: &str) -> Result<Vec<Row>, InventoryFault> {
    let documents = MarkedYaml::load_from_str(text)
        .map_err(|error| InventoryFault::new(error.marker().line(), "document", error.to_string()))?;
    let mut memberships = Vec::new();
    for document in &documents {
        for group in decode_mapping(document, "document")? {
            collect_memberships(&group, 0, &Fields::new(), &mut memberships)?;
        }
    }
    Ok(merge_memberships(memberships).into_values().map(with_address).collect())
}

/// A host's entry in one group.
struct Membership {
    /// Nesting depth of the group; 0 at the top level.
    depth: usize,
    host: String,
    line: usize,
    /// The variables of the group and of its ancestors. The group's own variables take precedence.
    group_vars: Fields,
    /// The variables that the entry itself sets for the host.
    host_vars: Fields,
}

fn collect_memberships(
    group: &Entry,
    depth: usize,
    inherited_vars: &Fields,
    memberships: &mut Vec<Membership>,
) -> Result<(), InventoryFault> {
    let sections = decode_mapping(group.value, &group.name)?;
    check_group_keys(&group.name, &sections)?;
    let section =
        |key: &str| sections.iter().find(|section| section.name == key).map(|section| section.value);
    let mut group_vars = inherited_vars.clone();
    if let Some(vars) = section("vars") {
        group_vars.extend(decode_vars(vars, "vars")?);
    }
    if let Some(hosts) = section("hosts") {
        for Entry { name: host, line, value } in decode_mapping(hosts, "hosts")? {
            let host_vars = decode_vars(value, &host)?;
            memberships.push(Membership { depth, host, line, group_vars: group_vars.clone(), host_vars });
        }
    }
    if let Some(children) = section("children") {
        for child in decode_mapping(children, "children")? {
            collect_memberships(&child, depth + 1, &group_vars, memberships)?;
        }
    }
    Ok(())
}

fn check_group_keys(group: &str, sections: &[Entry]) -> Result<(), InventoryFault> {
    match sections.iter().find(|section| !GROUP_KEYS.contains(&section.name.as_str())) {
        Some(unknown) => {
            let message = format!("group {group} may have hosts, vars and children only");
            Err(InventoryFault::new(unknown.line, &unknown.name, message))
        }
        None => Ok(()),
    }
}

/// Merges the memberships of each host into one row. Variables of a deeper group take precedence over those
/// of a shallower group, and variables of the host itself over those of all groups.
fn merge_memberships(mut memberships: Vec<Membership>) -> BTreeMap<String, Row> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    memberships.sort_by_key(|membership| membership.depth);
    for membership in &memberships {
        let row = rows.entry(membership.host.clone()).or_insert_with(|| Row {
            name: membership.host.clone(),
            line: membership.line,
            fields: Fields::new(),
        });
        row.fields.extend(membership.group_vars.clone());
    }
    for membership in memberships {
        rows.entry(membership.host).or_default().fields.extend(membership.host_vars);
    }
    rows
}

/// Sets `address` from Ansible's variables `ansible_host` and `port`, unless the row has an `address`
/// already.
fn with_address(mut row: Row) -> Row {
    let field = |name: &str| row.fields.get(name).cloned();
    if let (None, Some(host), Some(port)) = (field("address"), field("ansible_host"), field("port")) {
        let value = match host.value.parse::<IpAddr>() {
            Ok(IpAddr::V6(ip)) => format!("[{ip}]:{}", port.value),
            _ => format!("{}:{}", host.value, port.value),
        };
        row.fields.insert("address".into(), Field { value, line: host.line });
    }
    row
}

/// An entry of a YAML mapping, with the line of its key.
struct Entry<'a> {
    name: String,
    line: usize,
    value: &'a MarkedYaml<'a>,
}

/// Returns the entries of a mapping; a null counts as an empty mapping.
fn decode_mapping<'a>(node: &'a MarkedYaml<'a>, field: &str) -> Result<Vec<Entry<'a>>, InventoryFault> {
    match &node.data {
        YamlData::Mapping(map) => map.iter().map(|(key, value)| decode_entry(key, value, field)).collect(),
        YamlData::Value(Scalar::Null) => Ok(Vec::new()),
        _ => Err(InventoryFault::new(node.span.start.line(), field, "must be a mapping")),
    }
}

fn decode_entry<'a>(
    key: &'a MarkedYaml<'a>,
    value: &'a MarkedYaml<'a>,
    field: &str,
) -> Result<Entry<'a>, InventoryFault> {
    let line = key.span.start.line();
    let name =
        decode_scalar(key).ok_or_else(|| InventoryFault::new(line, field, "a name must be plain text"))?;
    Ok(Entry { name, line, value })
}

/// Returns the variables of a group or host. Variables that are not scalars belong to other tools and are
/// ignored.
fn decode_vars(node: &MarkedYaml, field: &str) -> Result<Fields, InventoryFault> {
    let to_field =
        |Entry { name, line, value }: Entry| Some((name, Field { value: decode_scalar(value)?, line }));
    Ok(decode_mapping(node, field)?.into_iter().filter_map(to_field).collect())
}

fn decode_scalar(node: &MarkedYaml) -> Option<String> {
    match &node.data {
        YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
        YamlData::Value(Scalar::Integer(number)) => Some(number.to_string()),
        YamlData::Value(Scalar::FloatingPoint(number)) => Some(number.to_string()),
        YamlData::Value(Scalar::Boolean(boolean)) => Some(boolean.to_string()),
        _ => None,
    }
}
