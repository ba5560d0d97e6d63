export type { Account } from "./Account.js";
export type { AccountKey } from "./AccountKey.js";
export type { CallerLimits } from "./CallerLimits.js";
export {
    type AuditEntry,
    type AuditRecord,
    AuditTrail,
    type Change,
    type ChangeAnswer,
    ChangeAnswerKind,
    ChangeKind,
    type ChangeOperation,
    changeRequestSchema,
    ChangeService,
    type ChangeServiceOptions,
} from "./changes/index.js";
export { checkDocument, type DocumentCheckOptions, type DocumentCheckResult } from "./checks/index.js";
export { ChunkCache, type ChunkGetParams, type ChunkGetResult, createSectionTree } from "./chunks/index.js";
export type { Configuration } from "./Configuration.js";
export type { ConfigurationDocument } from "./ConfigurationDocument.js";
export type { ConfigurationListener } from "./ConfigurationListener.js";
export { ConfigurationLoader } from "./ConfigurationLoader.js";
export type { ConfigurationLoaderOptions } from "./ConfigurationLoaderOptions.js";
export type { CreatedKey } from "./CreatedKey.js";
export { createKey } from "./createKey.js";
export type { DetectionSettings } from "./DetectionSettings.js";
export { getPartKey } from "./getPartKey.js";
export { getServiceParts } from "./getServiceParts.js";
export { IndexedConfiguration } from "./IndexedConfiguration.js";
export { isKeyValid } from "./isKeyValid.js";
export { KeylessOrderPolicy } from "./KeylessOrderPolicy.js";
export { parseDocument } from "./parseDocument.js";
export { parseJson } from "./parseJson.js";
export { type ConfigurationRemark, ConfigurationTable, findChanges, findWarnings } from "./review/index.js";
export type { Route } from "./Route.js";
export { RouteAccess } from "./RouteAccess.js";
export { RouteKind } from "./RouteKind.js";
export { addressSchema, checkSchema } from "./schema/index.js";
export type { Section } from "./Section.js";
export type { Service } from "./Service.js";
export type { ServicePart } from "./ServicePart.js";
export type { ServiceShare } from "./ServiceShare.js";
export { SuppliedConfiguration } from "./SuppliedConfiguration.js";
export type { SuppliedContent } from "./SuppliedContent.js";
export type { Upstream } from "./Upstream.js";
