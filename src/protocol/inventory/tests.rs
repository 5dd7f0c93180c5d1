use super::*;

const YAML: &str = "\
all:
  vars: {port: 9000, room: room-a}
  children:
    rack_1:
      vars:
        rack: r1
      hosts:
        node-1: {ansible_host: 127.0.0.1}
        node-2: {ansible_host: 127.0.0.2, room: room-b, state: draining}
    rack_2:
      vars: {rack: r2}
      hosts:
        node-3: {address: '127.0.0.3:9100'}
";

#[test]
fn csv_and_yaml_decode_to_the_same_nodes() {
    let csv = "name,address,room,rack,state,owner\n\
               node-1,127.0.0.1:9000,room-a,r1,,x\n\
               node-2,127.0.0.2:9000,room-b,r1,draining,\n\
               node-3,127.0.0.3:9100,room-a,r2,ready,y\n";
    let from_yaml = decode(YAML, Format::Yaml).unwrap();
    assert_eq!(from_yaml, decode(csv, Format::Csv).unwrap());
    assert_eq!((from_yaml[1].rack.as_str(), from_yaml[1].state), ("r1", EndpointState::Draining));
}

#[test]
fn errors_name_line_and_field() {
    let locations = |text: &str, format| -> Vec<(usize, String)> {
        decode(text, format).unwrap_err().into_iter().map(|e| (e.line, e.field)).collect()
    };
    let expected = |list: &[(usize, &str)]| -> Vec<(usize, String)> {
        list.iter().map(|(line, field)| (*line, field.to_string())).collect()
    };
    let csv = "name,address,rack,state\na,127.0.0.1:1,r1,up\na,nowhere:1,r 1,\nb,127.0.0.1:1\n";
    assert_eq!(locations(csv, Format::Csv), expected(&[(4, "row")]));
    let csv = "name,address,rack,state\na,127.0.0.1:1,r1,up\na,nowhere:1,r 1,\nb,127.0.0.1:1,r1,\n";
    let all = [(2, "state"), (3, "name"), (3, "address"), (3, "rack"), (4, "address")];
    assert_eq!(locations(csv, Format::Csv), expected(&all));
    assert_eq!(locations("name,rack\na,r\n", Format::Csv), expected(&[(1, "address")]));
    assert_eq!(locations("name,address,rack\n", Format::Csv), expected(&[(1, "hosts")]));
    let yaml = YAML.replace("127.0.0.2, room", "localhost, room").replace("rack: r2", "rack: [r2]");
    assert_eq!(locations(&yaml, Format::Yaml), expected(&[(9, "address"), (13, "rack")]));
    assert_eq!(locations("all:\n  host: {}\n", Format::Yaml), expected(&[(2, "host")]));
    assert_eq!(locations("a: [1\nb: 2\n", Format::Yaml)[0].1, "document");
}
