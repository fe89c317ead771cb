"""Tests which dependency cycles `.ci/module-circles` finds, with packages in a temporary folder."""
import pathlib
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().with_name("module-circles")


class ModuleCircles(unittest.TestCase):
    def run_script(self, files, arguments=("example",)):
        """Runs the script with a package `example` of these files; returns its exit code, output and errors."""
        with tempfile.TemporaryDirectory() as folder:
            for name, text in files.items():
                path = pathlib.Path(folder) / "crates/example/src" / name
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_text(text)
            result = subprocess.run([SCRIPT, *arguments], cwd=folder, capture_output=True, text=True)
            return result.returncode, result.stdout, result.stderr

    def assert_cycle(self, files, members):
        code, _, errors = self.run_script(files)
        self.assertEqual(code, 1, errors)
        self.assertIn(f"{len(members)} files form a dependency cycle", errors)
        for member in members:
            self.assertIn(f"\n  {member} uses ", errors)

    def assert_no_cycle(self, files):
        self.assertEqual(self.run_script(files), (0, "no dependency cycles between files in 1 packages\n", ""))

    def test_files_that_use_each_other_by_their_full_path(self):
        self.assert_cycle({"a.rs": "use crate::b::B;", "b.rs": "use crate::a::A;"}, ["a.rs", "b.rs"])

    def test_a_use_in_one_direction_is_no_cycle(self):
        self.assert_no_cycle({"a.rs": "use crate::b::B;", "b.rs": "pub struct B;"})

    def test_a_cycle_of_three_files(self):
        files = {"a.rs": "use crate::b::B;", "b.rs": "use crate::c::C;", "c.rs": "use crate::a::A;"}
        self.assert_cycle(files, ["a.rs", "b.rs", "c.rs"])

    def test_a_file_outside_the_cycle_is_not_named(self):
        files = {"a.rs": "use crate::b::B;", "b.rs": "use crate::a::A;", "c.rs": "use crate::a::A;"}
        self.assertNotIn("c.rs", self.run_script(files)[2])

    def test_two_cycles_are_reported_separately(self):
        files = {"a.rs": "use crate::b::B;", "b.rs": "use crate::a::A;"}
        files |= {"c.rs": "use crate::d::D;", "d.rs": "use crate::c::C;"}
        self.assertEqual(self.run_script(files)[2].count("2 files form a dependency cycle"), 2)

    def test_paths_from_the_parent_module(self):
        self.assert_cycle(
            {"net/a.rs": "use super::b::B;", "net/b.rs": "use super::super::net::a::A;"}, ["net/a.rs", "net/b.rs"]
        )

    def test_a_child_and_its_parent(self):
        files = {"net/mod.rs": "use crate::net::a::A;", "net/a.rs": "use super::Net;"}
        self.assert_cycle(files, ["net/a.rs", "net/mod.rs"])

    def test_a_visibility_is_no_use(self):
        files = {"net/mod.rs": "use self::a::A;", "net/a.rs": "pub(super) struct A;", "net/b.rs": "pub(in crate::net) fn f() {}"}
        self.assert_no_cycle(files)

    def test_a_wildcard_of_the_parent(self):
        files = {"net/mod.rs": "fn f() { self::a::f() }", "net/a.rs": "use super::*;"}
        self.assert_cycle(files, ["net/a.rs", "net/mod.rs"])

    def test_a_qualified_path_in_an_expression(self):
        self.assert_cycle(
            {"a.rs": "fn f() -> u32 { crate::b::g() + 1 }", "b.rs": "type A = Vec<crate::a::A>;"}, ["a.rs", "b.rs"]
        )

    def test_groups_and_nested_groups(self):
        files = {
            "net/a.rs": "use crate::{\n    net::{b::{B, C}, d::D as E},\n    other::O,\n};",
            "net/b.rs": "use super::{a::A};",
            "net/d.rs": "",
        }
        self.assert_cycle(files, ["net/a.rs", "net/b.rs"])
        self.assertNotIn("d.rs", self.run_script(files)[2])

    def test_a_group_that_names_the_module_itself(self):
        self.assert_cycle({"a.rs": "use crate::b::{self, B};", "b.rs": "use crate::a;"}, ["a.rs", "b.rs"])

    def test_a_name_that_a_module_re_exports(self):
        files = {"net/mod.rs": "pub use b::B;", "net/b.rs": "use crate::a::A;", "a.rs": "use crate::net::B;"}
        self.assert_cycle(files, ["a.rs", "net/b.rs"])

    def test_a_re_export_of_a_module_elsewhere_is_a_use(self):
        self.assert_cycle({"a.rs": "pub use crate::b::B;", "b.rs": "use crate::a::A;"}, ["a.rs", "b.rs"])

    def test_resolving_re_exports_of_each_other_terminates(self):
        self.assert_cycle({"a.rs": "pub use crate::b::B;", "b.rs": "pub use crate::a::B;"}, ["a.rs", "b.rs"])

    def test_a_link_in_documentation_counts(self):
        files = {"a.rs": "/// See [`B`](crate::b::B).\npub struct A;", "b.rs": "use crate::a::A;"}
        self.assert_cycle(files, ["a.rs", "b.rs"])

    def test_comments_and_strings_do_not_count(self):
        files = {
            "a.rs": "use crate::b::B;\n",
            "b.rs": '// crate::a::A\n/* crate::a */ const S: &str = "crate::a::A"; const R: &str = r#""crate::a""#;\n',
        }
        self.assert_no_cycle(files)

    def test_a_quote_in_a_character_literal_hides_no_code(self):
        files = {"a.rs": "const Q: char = '\"'; use crate::b::B; const R: char = '\"';", "b.rs": "use crate::a::A;"}
        self.assert_cycle(files, ["a.rs", "b.rs"])

    def test_a_quote_in_documentation_hides_no_code(self):
        files = {"a.rs": '/// An odd " and an odd \'.\nuse crate::b::B;\n/// " again', "b.rs": "use crate::a::A;"}
        self.assert_cycle(files, ["a.rs", "b.rs"])

    def test_tests_do_not_count(self):
        inline = "#[cfg(test)]\nmod tests {\n    use crate::a::A;\n}\n"
        self.assert_no_cycle({"a.rs": "use crate::b::B;", "b.rs": inline})
        self.assert_no_cycle({"a.rs": "use crate::b::B;", "b.rs": "", "b/tests.rs": "use crate::a::A;"})
        self.assert_no_cycle({"a.rs": "use crate::b::B;", "b.rs": "", "tests/b.rs": "use crate::a::A;"})

    def test_code_after_a_test_module_counts(self):
        inline = "#[cfg(test)]\nmod tests {\n    fn f() {}\n}\nuse crate::a::A;\n"
        self.assert_cycle({"a.rs": "use crate::b::B;", "b.rs": inline}, ["a.rs", "b.rs"])

    def test_the_root_of_the_package_does_not_count(self):
        self.assert_no_cycle({"lib.rs": "pub use crate::a::A;", "a.rs": "use crate::A;"})

    def test_a_missing_folder_fails(self):
        code, _, errors = self.run_script({}, arguments=("absent",))
        self.assertEqual(code, 1)
        self.assertIn("crates/absent/src is not a folder", errors)


if __name__ == "__main__":
    unittest.main()
