import { type Finding, UnexpectedVariantError } from "../../errors/index.js";
import type { Head } from "../../head/index.js";
import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import { ItemKind, type SectionTree } from "../chunks/index.js";
import type { Section } from "../Section.js";
import type { Change } from "./Change.js";
import { ChangeKind } from "./ChangeKind.js";
import type { ChangeOperation } from "./ChangeOperation.js";
import { checkBaseVersion } from "./checkBaseVersion.js";
import type { MergeResult } from "./MergeResult.js";

/** Merges one change into the current sections. */
export class ChangeMerger {
    readonly #head: Head;
    readonly #change: Change;
    readonly #trees: Record<string, SectionTree>;
    readonly #putSections: Record<string, Section> = {};
    readonly #removedSections: string[] = [];
    readonly #findings: Finding[] = [];

    /**
     * @param head - The current head.
     * @param trees - The sections of the head.
     * @param change - The change.
     */
    constructor(head: Head, trees: Readonly<Record<string, SectionTree>>, change: Change) {
        this.#head = head;
        this.#change = change;
        this.#trees = { ...trees };
    }

    /** Merges all operations in order and collects the findings against them. */
    run(): MergeResult {
        this.#findings.push(...checkBaseVersion(this.#head, this.#change.baseVersion));
        for (const [index, operation] of this.#change.operations.entries()) {
            this.#applyOperation(operation, `operations[${index}]`);
        }
        return {
            trees: this.#trees,
            putSections: this.#putSections,
            removedSections: this.#removedSections,
            findings: this.#findings,
        };
    }

    #applyOperation(operation: ChangeOperation, place: string): void {
        switch (operation.kind) {
            case ChangeKind.PutSection:
                return this.#addSection(operation.section, operation.content);
            case ChangeKind.RemoveSection:
                return this.#removeSection(operation.section);
            case ChangeKind.PutAccount:
                return this.#addAccount(operation.section, operation.account, place);
            case ChangeKind.RemoveAccount:
                return this.#removeAccount(operation.account, place);
            case ChangeKind.PutKey:
                return this.#addKey(operation.section, operation.key, place);
            case ChangeKind.WithdrawKey:
                return this.#withdrawKey(operation.keyId, place);
            case ChangeKind.DrainUpstream:
                return this.#drainUpstream(operation.upstream, operation.draining, place);
            default:
                throw new UnexpectedVariantError(operation);
        }
    }

    #addSection(name: string, content: Section): void {
        const owners = this.#head.sections[name]?.owners ?? content.owners;
        if (this.#checkUnchangedSinceBase(name) && this.#checkOwner(name, owners)) {
            delete this.#trees[name];
            this.#putSections[name] = content;
        }
    }

    #removeSection(name: string): void {
        const tree = this.#trees[name];
        if (tree === undefined) {
            this.#report(`sections.${name}`, "there is no such section");
            return;
        }
        if (this.#checkUnchangedSinceBase(name) && this.#checkOwner(name, tree.owners)) {
            delete this.#trees[name];
            this.#removedSections.push(name);
        }
    }

    #addAccount(section: string, value: Account, place: string): void {
        const container = this.#findContainingSection(ItemKind.Account, value.name);
        if (container !== undefined && container !== section) {
            this.#report(`${place}.section`, `account "${value.name}" is defined in section "${container}"`);
            return;
        }
        this.#applyToTree(section, `${place}.section`, tree => tree.add({ kind: ItemKind.Account, value }));
    }

    #removeAccount(name: string, place: string): void {
        const container = this.#findContainingSection(ItemKind.Account, name);
        if (container === undefined) {
            this.#report(`${place}.account`, `there is no account "${name}"`);
            return;
        }
        this.#checkNotListedInRoutes(name, place);
        this.#applyToTree(container, `${place}.account`, tree => tree.remove(ItemKind.Account, name));
        for (const [section, tree] of Object.entries(this.#trees)) {
            for (const key of tree.getAll(ItemKind.Key).filter(entry => entry.account === name)) {
                this.#applyToTree(section, `${place}.account`, current => current.remove(ItemKind.Key, key.id));
            }
        }
    }

    #addKey(section: string, value: AccountKey, place: string): void {
        if (this.#findContainingSection(ItemKind.Key, value.id) !== undefined) {
            this.#report(`${place}.key.id`, `there is a key "${value.id}" already`);
            return;
        }
        if (this.#findContainingSection(ItemKind.Account, value.account) === undefined) {
            this.#report(`${place}.key.account`, `there is no account "${value.account}"`);
            return;
        }
        this.#applyToTree(section, `${place}.section`, tree => tree.add({ kind: ItemKind.Key, value }));
    }

    #withdrawKey(id: string, place: string): void {
        const container = this.#findContainingSection(ItemKind.Key, id);
        if (container === undefined) {
            this.#report(`${place}.keyId`, `there is no key "${id}"`);
            return;
        }
        const value = { ...this.#trees[container]!.find(ItemKind.Key, id)!, withdrawn: true };
        this.#applyToTree(container, `${place}.keyId`, tree => tree.add({ kind: ItemKind.Key, value }));
    }

    #drainUpstream(name: string, draining: boolean, place: string): void {
        const container = this.#findContainingSection(ItemKind.Upstream, name);
        if (container === undefined) {
            this.#report(`${place}.upstream`, `there is no upstream "${name}"`);
            return;
        }
        const { service, upstream } = this.#trees[container]!.find(ItemKind.Upstream, name)!;
        const value = { service, upstream: { ...upstream, draining } };
        this.#applyToTree(container, `${place}.upstream`, tree => tree.add({ kind: ItemKind.Upstream, value }));
    }

    #applyToTree(section: string, place: string, change: (tree: SectionTree) => SectionTree): void {
        const tree = this.#trees[section];
        if (tree === undefined) {
            const isPut = this.#putSections[section] !== undefined;
            this.#report(
                place,
                isPut
                    ? `section "${section}" is replaced as a whole by the same change`
                    : `there is no section "${section}"`,
            );
            return;
        }
        if (this.#checkOwner(section, tree.owners)) {
            this.#trees[section] = change(tree);
        }
    }

    #findContainingSection(kind: ItemKind, name: string): string | undefined {
        return Object.keys(this.#trees).find(section => this.#trees[section]!.find(kind, name) !== undefined);
    }

    #checkNotListedInRoutes(account: string, place: string): void {
        for (const tree of Object.values(this.#trees)) {
            for (const route of tree.getAll(ItemKind.Route).filter(entry => entry.accounts?.includes(account))) {
                this.#report(`${place}.account`, `route "${route.name}" lists account "${account}"`);
            }
        }
    }

    #checkUnchangedSinceBase(name: string): boolean {
        const changedIn = this.#head.sections[name]?.version ?? this.#head.removedSections?.[name] ?? 0;
        if (changedIn <= this.#change.baseVersion) {
            return true;
        }
        const message = `was changed in version ${changedIn}, after base version ${this.#change.baseVersion}`;
        this.#report(`sections.${name}`, message);
        return false;
    }

    #checkOwner(name: string, owners: readonly string[]): boolean {
        const { operator } = this.#change;
        if (Array.isArray(owners) && owners.includes(operator)) {
            return true;
        }
        this.#report(`sections.${name}.owners`, `operator "${operator}" is none of the section's owners`);
        return false;
    }

    #report(place: string, message: string): void {
        this.#findings.push({ place, message });
    }
}
