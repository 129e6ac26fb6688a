#include "coordination/fold_codec.h"

#include <string.h>

#include "protocol/codec.h"
#include "state/config.h"
#include "state/control.h"

/* ---- config ---- */

static uint64_t
get_config_position(const void *fold)
{
	return config_position(fold);
}

static uint64_t
get_config_version(const void *fold)
{
	return config_version(fold);
}

static int
read_config_record(void *fold, uint64_t offset, const void *data, size_t len,
    bool apply, void (*chunk)(void *, const struct tm_checkpoint_chunk *),
    void *ctx)
{
	struct tm_config_record record;

	memset(&record, 0, sizeof(record));
	if (codec_decode((xdrproc_t)xdr_tm_config_record, data, len, &record) ==
	    -1) {
		if (apply)
			config_skip(fold, offset);
		return -1;
	}
	if (apply)
		config_apply(fold, offset, &record);
	if (record.type == TM_CONFIG_CHECKPOINT)
		chunk(ctx, &record.tm_config_record_u.checkpoint);
	xdr_free((xdrproc_t)xdr_tm_config_record, (char *)&record);
	return 0;
}

static void *
encode_config(const void *fold, size_t *len)
{
	struct tm_config_snapshot snap;
	void *data;

	config_snapshot(fold, &snap);
	data = codec_encode((xdrproc_t)xdr_tm_config_snapshot, &snap, len);
	xdr_free((xdrproc_t)xdr_tm_config_snapshot, (char *)&snap);
	return data;
}

static int
restore_config(void *fold, const void *data, size_t len)
{
	struct tm_config_snapshot snap;
	int rc;

	memset(&snap, 0, sizeof(snap));
	if (codec_decode((xdrproc_t)xdr_tm_config_snapshot, data, len, &snap) ==
	    -1)
		return -1;
	rc = config_restore(fold, &snap);
	xdr_free((xdrproc_t)xdr_tm_config_snapshot, (char *)&snap);
	return rc;
}

const struct fold_codec config_codec = {
	.stream = "config",
	.stream_id = TM_STREAM_CONFIG,
	.position = get_config_position,
	.version = get_config_version,
	.read_record = read_config_record,
	.encode = encode_config,
	.restore = restore_config,
};

/* ---- control ---- */

static uint64_t
get_control_position(const void *fold)
{
	return control_position(fold);
}

static uint64_t
get_control_version(const void *fold)
{
	return control_version(fold);
}

static int
read_control_record(void *fold, uint64_t offset, const void *data, size_t len,
    bool apply, void (*chunk)(void *, const struct tm_checkpoint_chunk *),
    void *ctx)
{
	struct tm_control_record record;

	memset(&record, 0, sizeof(record));
	if (codec_decode(
		(xdrproc_t)xdr_tm_control_record, data, len, &record) == -1) {
		if (apply)
			control_skip(fold, offset);
		return -1;
	}
	if (apply)
		control_apply(fold, offset, &record);
	if (record.body.type == TM_CONTROL_CHECKPOINT)
		chunk(ctx, &record.body.tm_control_body_u.checkpoint);
	xdr_free((xdrproc_t)xdr_tm_control_record, (char *)&record);
	return 0;
}

static void *
encode_control(const void *fold, size_t *len)
{
	struct tm_control_snapshot snap;
	void *data;

	control_snapshot(fold, &snap);
	data = codec_encode((xdrproc_t)xdr_tm_control_snapshot, &snap, len);
	xdr_free((xdrproc_t)xdr_tm_control_snapshot, (char *)&snap);
	return data;
}

static int
restore_control(void *fold, const void *data, size_t len)
{
	struct tm_control_snapshot snap;
	int rc;

	memset(&snap, 0, sizeof(snap));
	if (codec_decode(
		(xdrproc_t)xdr_tm_control_snapshot, data, len, &snap) == -1)
		return -1;
	rc = control_restore(fold, &snap);
	xdr_free((xdrproc_t)xdr_tm_control_snapshot, (char *)&snap);
	return rc;
}

const struct fold_codec control_codec = {
	.stream = "control",
	.stream_id = TM_STREAM_CONTROL,
	.position = get_control_position,
	.version = get_control_version,
	.read_record = read_control_record,
	.encode = encode_control,
	.restore = restore_control,
};
