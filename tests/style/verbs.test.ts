import { readFileSync } from "node:fs";
import ts from "typescript";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readSourceFiles } from "../support/readSourceFiles.js";

const verbs = readVerbs();
const files = [...readSourceFiles("src"), ...readSourceFiles("platform"), ...readSourceFiles("tests")];

test("each function's name begins with a verb of docs/VERBS.md", () => {
    assert.equal(files.flatMap(checkFile), []);
});

test.run();

function readVerbs(): Set<string> {
    const rows = readFileSync("docs/VERBS.md", "utf8").split("\n").filter(line => line.startsWith("| "));
    const cells = rows.map(row => row.split("|")[1] ?? "").filter(cell => !/verb|---/.test(cell));
    return new Set(cells.flatMap(cell => cell.split(",").map(verb => verb.trim())));
}

function checkFile(file: ts.SourceFile): string[] {
    const findings: string[] = [];
    const checkNode = (node: ts.Node): void => {
        const name = getFunctionName(node);
        if (name !== undefined && !verbs.has(getFirstWord(name))) {
            findings.push(`${file.fileName}: ${name}`);
        }
        ts.forEachChild(node, checkNode);
    };
    checkNode(file);
    return findings;
}

function getFunctionName(node: ts.Node): string | undefined {
    if (ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node) || ts.isMethodSignature(node)) {
        return node.name !== undefined && !ts.isComputedPropertyName(node.name) ? node.name.text : undefined;
    }
    const isFunctionVariable = ts.isVariableDeclaration(node) && node.initializer !== undefined &&
        (ts.isArrowFunction(node.initializer) || ts.isFunctionExpression(node.initializer));
    return isFunctionVariable && ts.isIdentifier(node.name) ? node.name.text : undefined;
}

function getFirstWord(name: string): string {
    return name.replace(/^#/, "").replace(/[A-Z].*$/, "");
}
