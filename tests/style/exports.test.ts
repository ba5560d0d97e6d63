import { basename } from "node:path";
import ts from "typescript";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readSourceFiles } from "../support/readSourceFiles.js";

const files = [...readSourceFiles("src"), ...readSourceFiles("platform"), ...readSourceFiles("tests/support")];

test("each source file has one export and index files only re-export", () => {
    const findings = files.flatMap(file => isIndex(file) ? checkIndex(file) : checkOneExport(file));
    assert.equal(findings, []);
});

test.run();

function isIndex(file: ts.SourceFile): boolean {
    return basename(file.fileName) === "index.ts";
}

function checkIndex(file: ts.SourceFile): string[] {
    return file.statements.filter(statement => !ts.isExportDeclaration(statement))
        .map(statement => `${file.fileName}: ${statement.getText().slice(0, 60)}`);
}

function checkOneExport(file: ts.SourceFile): string[] {
    const exported = file.statements.filter(hasExport);
    return exported.length > 1 ? [`${file.fileName}: ${exported.length} exports`] : [];
}

function hasExport(statement: ts.Statement): boolean {
    if (ts.isExportDeclaration(statement) || ts.isExportAssignment(statement)) {
        return true;
    }
    const modifiers = ts.canHaveModifiers(statement) ? ts.getModifiers(statement) ?? [] : [];
    return modifiers.some(modifier => modifier.kind === ts.SyntaxKind.ExportKeyword);
}
