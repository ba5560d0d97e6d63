import {
    ChunksMissingError,
    type Finding,
    FindingsError,
    StoreUnavailableError,
    TooManyConflictsError,
} from "../../errors/index.js";
import { UnknownChangeOutcomeError } from "../../errors/index.js";
import { findChunkDigests, type Head, type HeadChange, type HeadContent } from "../../head/index.js";
import { checkDocument } from "../checks/index.js";
import { createDigest, createSectionTree, type SectionTree } from "../chunks/index.js";
import { AuditTrail } from "./AuditTrail.js";
import type { Change } from "./Change.js";
import type { ChangeAnswer } from "./ChangeAnswer.js";
import { ChangeAnswerKind } from "./ChangeAnswerKind.js";
import { ChangeMerger } from "./ChangeMerger.js";
import type { ChangeServiceOptions } from "./ChangeServiceOptions.js";
import { createAuditedOperation } from "./createAuditedOperation.js";
import { hasAllChangesSince } from "./hasAllChangesSince.js";
import type { MergeResult } from "./MergeResult.js";
import { removeRetiredChunks } from "./removeRetiredChunks.js";
import { SectionWriter } from "./SectionWriter.js";

const MAJORITY_TIMEOUT_MS = 4_000;

/**
 * Applies changes by operators. It writes the chunks first, then the audit record, and then the head by compare-and-swap.
 * The configuration stays unchanged until the head is written.
 */
export class ChangeService {
    readonly #options: ChangeServiceOptions;
    readonly #auditTrail: AuditTrail;
    readonly #sectionWriter: SectionWriter;

    /** @param options - The dependencies. */
    constructor(options: ChangeServiceOptions) {
        this.#options = options;
        this.#auditTrail = new AuditTrail(options.store);
        this.#sectionWriter = new SectionWriter(options.store, options.loader);
    }

    /**
     * Applies a change. If a change with this id was applied before, returns its outcome instead.
     * @param change - The change.
     */
    async apply(change: Change): Promise<ChangeAnswer> {
        const attempt = { isWritten: false };
        try {
            const entry = findEntry(this.#options.loader.getHead(), change) ?? await this.#write(change, attempt);
            checkIsSameChange(entry, change);
            return await this.#waitForConfirmation(entry.version);
        }
        catch (error) {
            return createFailureAnswer(error, attempt.isWritten);
        }
    }

    /**
     * Finds the outcome of a change by its id alone; undefined if no version contains the change yet.
     * @param changeId - The change's id.
     */
    async findOutcome(changeId: string): Promise<ChangeAnswer | undefined> {
        const version = findVersion(this.#options.loader.getHead(), changeId) ??
            await this.#findStoredVersion(changeId);
        return version === undefined ? undefined : await this.#waitForConfirmation(version);
    }

    async #findStoredVersion(changeId: string): Promise<number | undefined> {
        const head = (await this.#options.headStore.read())?.head;
        if (head === undefined) {
            return undefined;
        }
        await this.#publish(head);
        const entry = await this.#auditTrail.findChange(head, changeId, 0);
        return findVersion(head, changeId) ?? entry?.record.version;
    }

    async #write(change: Change, attempt: { isWritten: boolean; }): Promise<HeadChange> {
        let auditedEntry: HeadChange | undefined;
        const head = await this.#options.headStore.apply(change.id, async current => {
            auditedEntry = await this.#findAuditedEntry(current, change);
            if (auditedEntry !== undefined) {
                return undefined;
            }
            const content = await this.#createContent(current, change);
            attempt.isWritten = true;
            return content;
        });
        await this.#publish(head);
        return auditedEntry ?? findEntry(head, change)!;
    }

    /** Ignores a failure to install the head on this host, because other hosts distribute the head too. */
    async #publish(head: Head): Promise<void> {
        try {
            await this.#options.publishHead(head);
        }
        catch {
            return;
        }
    }

    /** Finds a change in the audit trail if the head's change list no longer reaches back to its base version. */
    async #findAuditedEntry(head: Head, change: Change): Promise<HeadChange | undefined> {
        if (hasAllChangesSince(head, change.baseVersion)) {
            return undefined;
        }
        const entry = await this.#auditTrail.findChange(head, change.id, change.baseVersion);
        const record = entry?.record;
        return record && { id: record.changeId, version: record.version, digest: record.digest };
    }

    async #waitForConfirmation(version: number): Promise<ChangeAnswer> {
        const isConfirmed = await this.#options.waitForMajority(version, MAJORITY_TIMEOUT_MS);
        return { kind: isConfirmed ? ChangeAnswerKind.Accepted : ChangeAnswerKind.Unconfirmed, version };
    }

    async #createContent(head: Head, change: Change): Promise<HeadContent> {
        const currentTrees = await this.#options.loader.readSections(head);
        const merged = new ChangeMerger(head, currentTrees, change).run();
        const trees = await this.#createTrees(merged);
        const sections = await this.#sectionWriter.write(head, trees, new Set(Object.keys(merged.putSections)));
        const changeDigest = createChangeDigest(change);
        const auditKey = await this.#auditTrail.write({
            version: head.version + 1,
            changeId: change.id,
            operator: change.operator,
            time: this.#options.clock.getWallTime(),
            baseVersion: change.baseVersion,
            operations: change.operations.map(createAuditedOperation),
            digest: changeDigest,
            ...(head.lastAuditKey === undefined ? {} : { previous: head.lastAuditKey }),
        });
        const removedSections = createRemovedSections(head, merged.removedSections, sections);
        const retiredChunks = await this.#createRetiredChunks(head, sections);
        return { ...head, sections, removedSections, retiredChunks, auditKey, changeDigest };
    }

    async #createRetiredChunks(head: Head, sections: HeadContent["sections"]): Promise<Record<string, number>> {
        const retired: Record<string, number> = { ...await removeRetiredChunks(this.#options.store, head) };
        const used = findChunkDigests(sections);
        for (const digest of findChunkDigests(head.sections)) {
            if (!used.has(digest)) {
                retired[digest] = head.version + 1;
            }
        }
        return retired;
    }

    /**
     * Checks the merged sections and creates the trees of the replaced ones. The checks between sections are skipped if only
     * items were changed, which are checked already. Yields to the event loop before it creates each tree.
     */
    async #createTrees(merged: MergeResult): Promise<Record<string, SectionTree>> {
        const putSections = Object.entries(merged.putSections);
        const hasItemsOnly = putSections.length === 0 && merged.removedSections.length === 0;
        const findings = [...merged.findings, ...(hasItemsOnly ? [] : checkSections(merged))];
        if (findings.length > 0) {
            throw new FindingsError(findings);
        }
        const trees = { ...merged.trees };
        for (const [name, section] of putSections) {
            await this.#options.clock.wait(0);
            trees[name] = createSectionTree(section);
        }
        return trees;
    }
}

function checkSections(merged: MergeResult): readonly Finding[] {
    const decoded = Object.entries(merged.trees).map(([name, tree]) => [name, tree.decode()] as const);
    const document = { sections: { ...Object.fromEntries(decoded), ...merged.putSections } };
    return checkDocument(document, { checkedSections: new Set(Object.keys(merged.trees)) }).findings;
}

function createRemovedSections(
    head: Head,
    removed: readonly string[],
    sections: HeadContent["sections"],
): Record<string, number> {
    const oldest = head.changes[0]?.version ?? 0;
    const listed = Object.entries(head.removedSections ?? {}).filter(([, version]) => version >= oldest);
    const versions = [...listed, ...removed.map(name => [name, head.version + 1] as const)];
    return Object.fromEntries(versions.filter(([name]) => sections[name] === undefined));
}

function findVersion(head: Head, changeId: string): number | undefined {
    return head.changes.find(entry => entry.id === changeId)?.version;
}

function findEntry(head: Head, change: Change): HeadChange | undefined {
    return head.changes.find(entry => entry.id === change.id);
}

function checkIsSameChange(entry: HeadChange, change: Change): void {
    if (entry.digest !== createChangeDigest(change)) {
        throw new FindingsError([{
            place: "id",
            message: `version ${entry.version} has a different change with this id`,
        }]);
    }
}

function createChangeDigest(change: Change): string {
    return createDigest(JSON.stringify([change.operator, change.baseVersion, change.operations]));
}

function createFailureAnswer(error: unknown, isOutcomeUnknown: boolean): ChangeAnswer {
    if (error instanceof FindingsError) {
        return { kind: ChangeAnswerKind.Refused, findings: error.findings };
    }
    if (error instanceof TooManyConflictsError) {
        return { kind: ChangeAnswerKind.Unavailable, detail: error.message, isOutcomeUnknown: false };
    }
    const isStoreFailure = error instanceof StoreUnavailableError || error instanceof ChunksMissingError ||
        error instanceof UnknownChangeOutcomeError;
    if (isStoreFailure) {
        return { kind: ChangeAnswerKind.Unavailable, detail: error.message, isOutcomeUnknown };
    }
    throw error;
}
