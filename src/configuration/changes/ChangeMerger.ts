import { type Finding, UnexpectedVariantError } from "../../errors/index.js";
import type { Head } from "../../head/index.js";
import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { Section } from "../Section.js";
import type { Change } from "./Change.js";
import { ChangeKind } from "./ChangeKind.js";
import type { ChangeOperation } from "./ChangeOperation.js";
import { checkBaseVersion } from "./checkBaseVersion.js";
import type { MergeResult } from "./MergeResult.js";

/** Merges one change into the sections as they stand. */
export class ChangeMerger {
    readonly #head: Head;
    readonly #change: Change;
    readonly #sections: Record<string, Section>;
    readonly #putSections = new Set<string>();
    readonly #touchedSections = new Set<string>();
    readonly #findings: Finding[] = [];

    /**
     * @param head - The head that stands.
     * @param sections - Its sections.
     * @param change - The change.
     */
    constructor(head: Head, sections: Readonly<Record<string, Section>>, change: Change) {
        this.#head = head;
        this.#change = change;
        this.#sections = { ...sections };
    }

    /** Merges all operations in order and collects what speaks against them. */
    run(): MergeResult {
        this.#findings.push(...checkBaseVersion(this.#head, this.#change.baseVersion));
        for (const [index, operation] of this.#change.operations.entries()) {
            this.#applyOperation(operation, `operations[${index}]`);
        }
        return {
            sections: this.#sections,
            putSections: this.#putSections,
            touchedSections: this.#touchedSections,
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
        const owners = this.#sections[name]?.owners ?? content.owners;
        if (this.#checkHasNotMoved(name) && this.#checkOwner(name, owners)) {
            this.#sections[name] = content;
            this.#putSections.add(name);
        }
    }

    #removeSection(name: string): void {
        const section = this.#sections[name];
        if (section === undefined) {
            this.#report(`sections.${name}`, "there is no such section");
            return;
        }
        if (this.#checkHasNotMoved(name) && this.#checkOwner(name, section.owners)) {
            delete this.#sections[name];
        }
    }

    #addAccount(name: string, account: Account, place: string): void {
        const holder = this.#findHolder(section => section.accounts?.some(known => known.name === account.name));
        if (holder !== undefined && holder !== name) {
            this.#report(`${place}.section`, `account "${account.name}" stands in section "${holder}"`);
            return;
        }
        this.#applyToSection(name, `${place}.section`, section => ({
            ...section,
            accounts: [...(section.accounts ?? []).filter(known => known.name !== account.name), account],
        }));
    }

    #removeAccount(name: string, place: string): void {
        const holder = this.#findHolder(section => section.accounts?.some(known => known.name === name));
        if (holder === undefined) {
            this.#report(`${place}.account`, `there is no account "${name}"`);
            return;
        }
        const holders = Object.keys(this.#sections).filter(section =>
            section === holder || this.#sections[section]?.keys?.some(key => key.account === name)
        );
        for (const section of holders) {
            this.#applyToSection(section, `${place}.account`, known => ({
                ...known,
                ...(known.accounts && { accounts: known.accounts.filter(account => account.name !== name) }),
                ...(known.keys && { keys: known.keys.filter(key => key.account !== name) }),
            }));
        }
    }

    #addKey(name: string, key: AccountKey, place: string): void {
        if (this.#findHolder(section => section.keys?.some(known => known.id === key.id)) !== undefined) {
            this.#report(`${place}.key.id`, `there is a key "${key.id}" already`);
            return;
        }
        this.#applyToSection(name, `${place}.section`, section => ({
            ...section,
            keys: [...section.keys ?? [], key],
        }));
    }

    #withdrawKey(id: string, place: string): void {
        const holder = this.#findHolder(section => section.keys?.some(known => known.id === id));
        if (holder === undefined) {
            this.#report(`${place}.keyId`, `there is no key "${id}"`);
            return;
        }
        this.#applyToSection(holder, `${place}.keyId`, section => ({
            ...section,
            keys: section.keys!.map(key => key.id === id ? { ...key, withdrawn: true } : key),
        }));
    }

    #drainUpstream(name: string, draining: boolean, place: string): void {
        const holder = this.#findHolder(section =>
            section.services?.some(service => service.upstreams.some(upstream => upstream.name === name))
        );
        if (holder === undefined) {
            this.#report(`${place}.upstream`, `there is no upstream "${name}"`);
            return;
        }
        this.#applyToSection(holder, `${place}.upstream`, section => ({
            ...section,
            services: section.services!.map(service => ({
                ...service,
                upstreams: service.upstreams.map(known => known.name === name ? { ...known, draining } : known),
            })),
        }));
    }

    #applyToSection(name: string, place: string, change: (section: Section) => Section): void {
        const section = this.#sections[name];
        if (section === undefined) {
            this.#report(place, `there is no section "${name}"`);
            return;
        }
        if (this.#checkOwner(name, section.owners)) {
            this.#sections[name] = change(section);
        }
    }

    #findHolder(isHolder: (section: Section) => boolean | undefined): string | undefined {
        return Object.keys(this.#sections).find(name => isHolder(this.#sections[name]!) ?? false);
    }

    #checkHasNotMoved(name: string): boolean {
        const moved = this.#head.sections[name]?.version ?? this.#head.removedSections?.[name] ?? 0;
        if (moved <= this.#change.baseVersion) {
            return true;
        }
        const message = `was changed in version ${moved}, after base version ${this.#change.baseVersion}`;
        this.#report(`sections.${name}`, message);
        return false;
    }

    #checkOwner(name: string, owners: readonly string[]): boolean {
        const { operator } = this.#change;
        this.#touchedSections.add(name);
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
